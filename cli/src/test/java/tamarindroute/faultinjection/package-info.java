/**
 * Fault injection tests of the gateway. {@link tamarindroute.faultinjection.ScenarioRun} starts the
 * program as a process between simulated clients, caches and a control feed, which inject the
 * faults of {@link tamarindroute.faultinjection.Fault} as drawn from a seed. All observations go
 * into one {@link tamarindroute.faultinjection.Journal}, and each {@link
 * tamarindroute.faultinjection.InvariantCheck} searches it for violations of one invariant. {@link
 * tamarindroute.faultinjection.SeedRunner} runs ranges of seeds from the command line.
 */
package tamarindroute.faultinjection;
