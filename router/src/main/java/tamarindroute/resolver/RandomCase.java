package tamarindroute.resolver;

import java.util.Random;
import org.xbill.DNS.DNSInput;
import org.xbill.DNS.Name;
import org.xbill.DNS.WireParseException;

/**
 * Spells names in letters of random case ("0x20"). An answer must repeat the spelling, which adds
 * to the randomness that a forger must guess.
 */
final class RandomCase {

  private static final int CASE_BIT = 0x20;

  private RandomCase() {}

  static Name of(Name name, Random random) {
    byte[] wire = name.toWire();
    int index = 0;
    while (index < wire.length) {
      int labelEnd = index + 1 + wire[index];
      index++;
      for (; index < labelEnd; index++) {
        if (isLetter(wire[index]) && random.nextBoolean()) {
          wire[index] ^= CASE_BIT;
        }
      }
    }
    try {
      return new Name(new DNSInput(wire));
    } catch (WireParseException e) {
      throw new IllegalStateException("\"" + name + "\" cannot be decoded again", e);
    }
  }

  private static boolean isLetter(byte octet) {
    return (octet >= 'A' && octet <= 'Z') || (octet >= 'a' && octet <= 'z');
  }
}
