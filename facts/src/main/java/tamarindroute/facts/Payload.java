package tamarindroute.facts;

import java.util.Arrays;

/** Bytes that nobody here reads or changes. */
public record Payload(byte[] bytes) {

  public Payload {
    bytes = bytes.clone();
  }

  @Override
  public byte[] bytes() {
    return bytes.clone();
  }

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
