package tamarindroute.maintenance;

/** The planned availability of a cache in one bin of time. */
enum Availability {
  /** Up and warm: counts towards coverage and capacity. */
  IN_SERVICE,
  /** Down, or in a maintenance window. */
  OUT,
  /**
   * Up after an outage but not warm yet: adds fill load and does not count towards coverage or
   * capacity.
   */
  COLD
}
