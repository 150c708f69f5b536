/**
 * The command line: subcommands with their options, help and exit codes, each a class of its own.
 * The work is done by the gateway, the name server and the other services; a gateway that the
 * platform starts does not load this package.
 */
package tamarindroute.cli;
