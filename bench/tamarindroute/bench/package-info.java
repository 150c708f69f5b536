/**
 * Benchmarks of the name server and of elections, in simulated time or on loopback sockets, as each
 * printed line says. CI compiles and does not run them; the README says how to start one.
 */
package tamarindroute.bench;
