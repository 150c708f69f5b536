package tamarindroute.agreement;

import java.util.Arrays;

/**
 * A value that a subsystem has replicated under a key of the view. This module does not interpret
 * the value. Immutable.
 */
public final class ReplicatedEntry {

  private final String type;
  private final byte[] value;
  private final long lastChangedNumber;

  /**
   * Creates an entry with a copy of the value.
   *
   * @param type name of the value's format, chosen by the subsystem
   * @param lastChangedNumber number of the view that last changed the entry
   */
  public ReplicatedEntry(String type, byte[] value, long lastChangedNumber) {
    this.type = type;
    this.value = value.clone();
    this.lastChangedNumber = lastChangedNumber;
  }

  /** Returns the name of the value's format, chosen by the subsystem. */
  public String type() {
    return type;
  }

  /** Returns a copy of the value. */
  public byte[] value() {
    return value.clone();
  }

  /** Returns the value's size in bytes. */
  public int size() {
    return value.length;
  }

  /** Returns the number of the view that last changed this entry. */
  public long lastChangedNumber() {
    return lastChangedNumber;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ReplicatedEntry that
        && type.equals(that.type)
        && lastChangedNumber == that.lastChangedNumber
        && Arrays.equals(value, that.value);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(value) * 31 + Long.hashCode(lastChangedNumber);
  }

  @Override
  public String toString() {
    return type + " of " + value.length + " bytes, last changed by view " + lastChangedNumber;
  }
}
