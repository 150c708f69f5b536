/**
 * Variants of a site file, to show what the program was fitted to without anybody meaning it:
 * {@link tamarindroute.variants.Factor} says what can be changed, {@link
 * tamarindroute.variants.Generate} writes the files, {@link tamarindroute.variants.Table} collects
 * what the bench reported. A developers' tool, no part of the program.
 */
package tamarindroute.variants;
