package tamarindroute.membership;

/**
 * One part of the member table, selected by the members' hashes. Travels as the request id of an
 * exchange message: the index in the upper 32 bits, the count in the lower.
 *
 * @param index which part, from 0
 * @param count how many parts the table is divided into
 */
record ExchangePart(int index, int count) {

  /** More parts than a full table needs. */
  static final int MAX_COUNT = 4_096;

  static ExchangePart fromRequestId(long requestId) {
    return new ExchangePart((int) (requestId >>> Integer.SIZE), (int) requestId);
  }

  long toRequestId() {
    return (long) index << Integer.SIZE | count;
  }

  boolean isValid() {
    return count >= 1 && count <= MAX_COUNT && index >= 0 && index < count;
  }

  boolean contains(MemberEntry entry) {
    return Integer.remainderUnsigned(entry.hash, count) == index;
  }
}
