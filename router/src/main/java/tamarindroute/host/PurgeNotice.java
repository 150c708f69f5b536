package tamarindroute.host;

/**
 * A purge as the control feed announces it: of one object or of a group.
 *
 * @param objectId the object; null for a whole group
 * @param group the group; {@link #NO_GROUP} for one object
 * @param issuedAtMillis when the purge was issued, in Unix time
 */
record PurgeNotice(Long objectId, int group, long issuedAtMillis) {

  /** In place of the group of a purge of one object. */
  static final int NO_GROUP = -1;
}
