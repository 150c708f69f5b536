package tamarindroute.maintenance;

import java.util.Map;

/**
 * All windows that the settings request. A window that a later revision lacks is withdrawn.
 *
 * @param revision of the settings
 * @param windows by id
 */
public record RequestedWindows(int revision, Map<String, MaintenanceWindow> windows) {}
