/**
 * Maintenance windows: when caches may be taken out of service without loss of coverage or
 * capacity.
 *
 * <p>{@link tamarindroute.maintenance.Planner} places maintenance requests over a {@link
 * tamarindroute.maintenance.PlanningInput}; {@link tamarindroute.maintenance.LoadCurve} supplies
 * the load by time of day; {@link tamarindroute.maintenance.WindowCoordinator} advances each
 * window, which is an entry of the agreed membership view (module {@code agreement}), through its
 * phases.
 *
 * <p>This package has no sockets, files, clocks or threads: callers pass in events and times and
 * carry out the returned actions. No module uses it yet.
 */
package tamarindroute.maintenance;
