package tamarindroute.maintenance;

import java.util.Map;

/**
 * All windows that one revision of the settings requests. If a later revision does not contain a
 * window, the window is withdrawn.
 *
 * @param revision the revision of the settings; increases with each change
 * @param windows the requested windows, by id
 */
public record RequestedWindows(int revision, Map<String, MaintenanceWindow> windows) {}
