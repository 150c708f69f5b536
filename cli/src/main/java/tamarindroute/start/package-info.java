/**
 * The two subcommands of the operators' platform, {@code serve} and {@code wirehost}, and the
 * program's exit codes. Shared by {@code Main}, which runs the subcommands without the command line
 * libraries, and the package {@code cli}, which depends on this one.
 */
package tamarindroute.start;
