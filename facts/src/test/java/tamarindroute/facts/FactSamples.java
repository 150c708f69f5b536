package tamarindroute.facts;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/** Sample values for tests of facts. */
final class FactSamples {

  static final String FEED = "feed:1";

  private FactSamples() {}

  static Member member(int index, long incarnation) {
    return new Member(address(index), incarnation);
  }

  static Address address(int index) {
    return new Address("m" + index, 1);
  }

  static Duration seconds(double seconds) {
    return Duration.ofNanos((long) (seconds * 1e9));
  }

  static Payload payload(String text) {
    return new Payload(text.getBytes(StandardCharsets.UTF_8));
  }

  static Fact.Event event(long number, boolean snapshot, String text) {
    return new Fact.Event(FEED, 0, number, snapshot, payload(text));
  }
}
