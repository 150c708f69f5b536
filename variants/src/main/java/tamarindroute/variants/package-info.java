/**
 * Variants of a site file, to show on which properties of a site the program's quality depends:
 * {@link tamarindroute.variants.Factor} lists what can be changed, {@link
 * tamarindroute.variants.GenerateCommand} writes the files, {@link
 * tamarindroute.variants.TableCommand} collects what the bench reported. A developers' tool; no
 * module uses it.
 */
package tamarindroute.variants;
