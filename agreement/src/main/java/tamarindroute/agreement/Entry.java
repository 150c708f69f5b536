package tamarindroute.agreement;

import java.util.Arrays;

/**
 * What a subsystem has agreed under a key: opaque here, but for its type and the view's number that
 * last changed it.
 */
public final class Entry {

  private final String type;
  private final byte[] value;
  private final long changed;

  public Entry(String type, byte[] value, long changed) {
    this.type = type;
    this.value = value.clone();
    this.changed = changed;
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
  public long changed() {
    return changed;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Entry that
        && type.equals(that.type)
        && changed == that.changed
        && Arrays.equals(value, that.value);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(value) * 31 + Long.hashCode(changed);
  }

  @Override
  public String toString() {
    return type + "(" + value.length + " bytes) of " + changed;
  }
}
