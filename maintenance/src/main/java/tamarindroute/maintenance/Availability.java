package tamarindroute.maintenance;

/** Whether a cache counts as cover in a bin of time. */
enum Availability {
  /** Up and warm. */
  IN_SERVICE,
  /** In a window, or down. */
  OUT,
  /** Back, but still filling: takes some load and is not counted on. */
  COLD
}
