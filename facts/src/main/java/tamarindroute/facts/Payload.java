package tamarindroute.facts;

import java.util.Arrays;

/** Opaque bytes, passed on unchanged. Immutable. */
@SuppressWarnings("ArrayRecordComponent") // Copied on access, compared by content.
public record Payload(byte[] bytes) {

  /** Copies the bytes. */
  public Payload {
    bytes = bytes.clone();
  }

  /** Returns a copy of the bytes. */
  @Override
  public byte[] bytes() {
    return bytes.clone();
  }

  /** Returns the size in bytes. */
  public int size() {
    return bytes.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Payload payload && Arrays.equals(bytes, payload.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return bytes.length + " bytes";
  }
}
