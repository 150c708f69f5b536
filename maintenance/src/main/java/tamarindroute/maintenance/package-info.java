/**
 * Maintenance windows: when caches may be taken out of service without loss of cover or capacity.
 *
 * <p>{@link tamarindroute.maintenance.Planner} places maintenance requests over a {@link
 * tamarindroute.maintenance.PlanningInput}; {@link tamarindroute.maintenance.LoadCurve} supplies
 * the load by time of day; {@link tamarindroute.maintenance.WindowCoordinator} takes each window
 * through its phases as entries of the agreed membership view (module {@code agreement}).
 *
 * <p>Everything here is pure: no sockets, files, clocks or threads. The caller reports events and
 * carries out the returned actions. No module uses this one yet.
 */
package tamarindroute.maintenance;
