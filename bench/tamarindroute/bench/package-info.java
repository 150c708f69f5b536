/**
 * Owns the long measurements, which CI compiles and does not run: their runners, their baselines,
 * their plots. The README says how to start one. Each states what it was: simulated time, or
 * sockets on loopback.
 */
package tamarindroute.bench;
