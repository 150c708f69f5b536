/**
 * The command line: subcommands, options, help and exit codes, read by picocli. The subcommands
 * delegate to {@code start}, {@code nameserver}, {@code members} and {@code config}. A gateway that
 * is started by {@code serve} without options does not load this package (see {@code
 * tamarindroute.Main}).
 */
package tamarindroute.cli;
