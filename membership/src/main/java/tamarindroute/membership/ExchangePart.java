package tamarindroute.membership;

/**
 * One part of the member table in a state exchange. A member belongs to the part whose index is the
 * member's hash modulo the number of parts.
 *
 * <p>Sent as the request id of an exchange message: index in the upper 32 bits, count in the lower.
 *
 * @param index index of the part, 0 to {@code count - 1} if valid
 * @param count number of parts of the table, 1 to {@link #MAX_COUNT} if valid
 */
record ExchangePart(int index, int count) {

  /** More than a full table with the default settings needs, which is about 500 parts. */
  static final int MAX_COUNT = 4_096;

  static ExchangePart fromRequestId(long requestId) {
    return new ExchangePart((int) (requestId >>> Integer.SIZE), (int) requestId);
  }

  long toRequestId() {
    return (long) index << Integer.SIZE | count;
  }

  /** Whether a received part is within the bounds of its components. */
  boolean isValid() {
    return count >= 1 && count <= MAX_COUNT && index >= 0 && index < count;
  }

  boolean contains(MemberEntry entry) {
    return Integer.remainderUnsigned(entry.hash, count) == index;
  }
}
