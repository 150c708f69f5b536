package tamarindroute.agreement;

import java.util.Arrays;

/**
 * What a subsystem has agreed under a key: opaque here, but for its type and the view's number that
 * last changed it.
 */
public final class ReplicatedEntry {

  private final String type;
  private final byte[] value;
  private final long lastChangedNumber;

  public ReplicatedEntry(String type, byte[] value, long changed) {
    this.type = type;
    this.value = value.clone();
    this.lastChangedNumber = changed;
  }

  public String type() {
    return type;
  }

  /** A copy. */
  public byte[] value() {
    return value.clone();
  }

  public int size() {
    return value.length;
  }

  /** The view's number that last changed it; a change of it names this number. */
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
    return type + "(" + value.length + " bytes) of " + lastChangedNumber;
  }
}
