package tamarindroute.faultinjection;

/** When an event of the control feed counts as known to the gateway. */
final class FeedDelivery {

  /** An event counts as delivered after this time, whether or not it arrived. */
  private static final long LATEST_DELIVERY = 7000 * Journal.NANOS_PER_MS;

  private FeedDelivery() {}

  /** When the feed wrote a response with this event, or the latest time that counts as such. */
  static long deliveredAt(Journal journal, JournalEvent created) {
    long latest = created.latest() + LATEST_DELIVERY;
    String number = created.field(EventField.EVENT_NUMBER);
    return journal.eventsOf(EventKind.FEED_EVENT_SENT).stream()
        .filter(event -> event.field(EventField.EVENT_NUMBER).equals(number))
        .mapToLong(event -> Math.min(event.latest(), latest))
        .min()
        .orElse(latest);
  }
}
