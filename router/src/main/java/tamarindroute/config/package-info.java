/**
 * Settings files in XML: parsing, validation against the schema and by the checks that a schema
 * cannot express, and conversion to the typed settings of the name server. All faults of a file are
 * collected and reported together.
 *
 * <p>{@code dns} defines the DNS settings, {@code host} the platform's configuration; {@code
 * members} reads its own files with {@link tamarindroute.config.XmlFileParser}.
 */
package tamarindroute.config;
