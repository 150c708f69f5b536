/**
 * Owns the settings in XML: their schema, the checks that a schema can't make, and their binding to
 * the values that fronts take. It must never start anything, nor let a file through of which any
 * part can't be used.
 */
package tamarindroute.config;
