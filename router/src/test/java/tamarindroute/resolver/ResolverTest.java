package tamarindroute.resolver;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/** What the asking side decides, without sockets or clocks. */
class ResolverTest {

  private static final Name ZONE = Forwarder.absoluteName("north.example");
  private static final Name ASKED = Forwarder.absoluteName("A.north.Example");

  private static Duration at(double seconds) {
    return Duration.ofMillis(Math.round(seconds * 1000));
  }

  private static Record record(String name, String type, long ttl, String data) {
    try {
      return Record.fromString(
          Forwarder.absoluteName(name), Type.value(type), DClass.IN, ttl, data, Name.root);
    } catch (IOException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private static Message answer(int id, Name name, Record... records) {
    Message message = new Message(id);
    message.getHeader().setFlag(Flags.QR);
    message.addRecord(Record.newRecord(name, Type.A, DClass.IN), Section.QUESTION);
    for (Record record : records) {
      message.addRecord(record, record.getType() == Type.SOA ? Section.AUTHORITY : Section.ANSWER);
    }
    return message;
  }

  private static AnswerValidator.Verdict read(Message message) {
    return AnswerValidator.validate(message.toWire(), 7, ASKED, Type.A, ZONE);
  }

  @Test
  void onlyAnswersToTheQuestionAreAccepted() {
    Record good = record("a.north.example", "A", 60, "192.0.2.1");
    assertThat(read(answer(7, ASKED, good))).isInstanceOf(AnswerValidator.Accepted.class);
    assertThat(read(answer(8, ASKED, good))).as("id").isInstanceOf(AnswerValidator.Mismatch.class);
    assertThat(read(answer(7, Forwarder.absoluteName("a.north.example"), good)))
        .as("letters' case")
        .isInstanceOf(AnswerValidator.Mismatch.class);
    assertThat(read(answer(7, Forwarder.absoluteName("b.north.example"), good)))
        .isInstanceOf(AnswerValidator.Mismatch.class);
    Message query = answer(7, ASKED, good);
    query.getHeader().unsetFlag(Flags.QR);
    assertThat(read(query)).isInstanceOf(AnswerValidator.Mismatch.class);
    Message cut = answer(7, ASKED);
    cut.getHeader().setFlag(Flags.TC);
    assertThat(read(cut)).isInstanceOf(AnswerValidator.Truncated.class);
    Message refused = answer(7, ASKED);
    refused.getHeader().setRcode(Rcode.REFUSED);
    assertThat(read(refused)).isInstanceOf(AnswerValidator.Unusable.class);
    assertThat(read(answer(7, ASKED))).as("lame").isInstanceOf(AnswerValidator.Unusable.class);
  }

  @Test
  void recordsOutsideOfTheAliasChainOrTheZoneAreDropped() {
    AnswerValidator.Accepted good =
        (AnswerValidator.Accepted)
            read(
                answer(
                    7,
                    ASKED,
                    record("a.north.example", "CNAME", 60, "b.north.example."),
                    record("b.north.example", "CNAME", 60, "c.south.example."),
                    record("c.south.example", "A", 60, "203.0.113.66"),
                    record("bank.example", "A", 60, "203.0.113.66"),
                    record("z.north.example", "A", 60, "203.0.113.66")));
    assertThat(good.message().getSection(Section.ANSWER))
        .extracting(r -> r.getName().toString().toLowerCase(Locale.ROOT))
        .containsExactly("a.north.example.", "b.north.example.");
  }

  @Property(seed = "19", tries = 2000)
  void randomBytesAreNeverAcceptedAndNeverThrow(@ForAll @Size(max = 600) byte[] bytes) {
    assertThat(AnswerValidator.validate(bytes, 7, ASKED, Type.A, ZONE))
        .isNotInstanceOf(AnswerValidator.Accepted.class);
  }

  @Property(seed = "20", tries = 2000)
  void mutatedAnswersGiveOnlyRecordsInTheZone(@ForAll long seed) {
    Random random = new Random(seed);
    byte[] bytes =
        answer(
                7,
                ASKED,
                record("a.north.example", "A", 60, "192.0.2.1"),
                record("a.north.example", "CNAME", 60, "b.north.example."))
            .toWire();
    for (int i = random.nextInt(4); i >= 0; i--) {
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
    }
    if (AnswerValidator.validate(bytes, 7, ASKED, Type.A, ZONE)
        instanceof AnswerValidator.Accepted good) {
      assertThat(good.message().getSection(Section.ANSWER))
          .allSatisfy(r -> assertThat(r.getName().subdomain(ZONE)).isTrue());
    }
  }

  @Test
  void cachedAnswersExpireAreBoundedAndServedStaleForATime() {
    AnswerCache cache = new AnswerCache();
    AnswerCache.Question question = new AnswerCache.Question(ASKED, Type.A);
    cache.put(question, answer(7, ASKED, record("a.north.example", "A", 60, "192.0.2.1")), at(0));
    assertThat(
            cache
                .fresh(question, at(20))
                .orElseThrow()
                .message()
                .getSection(Section.ANSWER)
                .get(0)
                .getTTL())
        .isEqualTo(40);
    assertThat(cache.fresh(question, at(60))).isEmpty();
    AnswerCache.CachedAnswer stale = cache.stale(question, at(100), at(159)).orElseThrow();
    assertThat(stale.stale()).isTrue();
    assertThat(stale.message().getSection(Section.ANSWER).get(0).getTTL()).isEqualTo(30);
    assertThat(cache.stale(question, at(100), at(160))).isEmpty();
    Message no =
        answer(
            7,
            ASKED,
            record("north.example", "SOA", 900, "ns.north.example. h.north.example. 1 2 3 4 10"));
    no.getHeader().setRcode(Rcode.NXDOMAIN);
    cache.put(question, no, at(200));
    assertThat(cache.fresh(question, at(209)).orElseThrow().message().getRcode())
        .isEqualTo(Rcode.NXDOMAIN);
    assertThat(cache.fresh(question, at(211))).isEmpty();
    for (int i = 0; i < 5000; i++) {
      cache.put(
          new AnswerCache.Question(Forwarder.absoluteName("n" + i + ".north.example"), Type.A),
          answer(7, ASKED, record("a.north.example", "A", 60, "192.0.2.1")),
          at(300));
    }
    assertThat(cache.size()).isEqualTo(2048);
  }

  private static InetSocketAddress upstream(int last) {
    return new InetSocketAddress("192.0.2." + last, 53);
  }

  @Test
  void fastHealthyUpstreamIsPreferredAndARecoveredOneIsNoticed() {
    UpstreamSelector upstreams = new UpstreamSelector(List.of(upstream(1), upstream(2)), 100, 1);
    int[] asked = new int[2];
    for (int i = 0; i < 2000; i++) {
      double now = i * 0.1;
      boolean dead = now < 60;
      UpstreamSelector.Upstream one = upstreams.next(Set.of(), at(now)).orElseThrow();
      int place = one.address().equals(upstream(1)) ? 0 : 1;
      if ((now >= 10 && now < 60) || now > 150) {
        asked[now < 60 ? 0 : 1] += place == 0 ? 1 : 0;
      }
      upstreams.sent(one, at(now));
      if (place == 0 && dead) {
        upstreams.failed(one, true, at(now + 0.05));
      } else {
        upstreams.answered(one, at(place == 0 ? 0.002 : 0.03), at(now));
      }
    }
    assertThat(asked[0]).as("while it was dead, of 500").isLessThan(15);
    assertThat(asked[1]).as("once it is back and quicker, of 500").isGreaterThan(400);
  }

  @Test
  void questionsInFlightAreLimitedByUpstream() {
    UpstreamSelector upstreams = new UpstreamSelector(List.of(upstream(1)), 3, 1);
    for (int i = 0; i < 3; i++) {
      upstreams.sent(upstreams.next(Set.of(), at(0)).orElseThrow(), at(0));
    }
    assertThat(upstreams.next(Set.of(), at(0))).isEmpty();
    upstreams.abandoned(upstreams.all().get(0));
    assertThat(upstreams.next(Set.of(), at(0))).isPresent();
  }

  @Test
  void retriesStayAPartOfFirstAttempts() {
    RetryBudget budget = new RetryBudget();
    int further = 0;
    for (int i = 0; i < 10_000; i++) {
      budget.onFirstAttempt(at(i * 0.001));
      further += budget.tryRetry(at(i * 0.001)) ? 1 : 0;
      further += budget.tryRetry(at(i * 0.001)) ? 1 : 0;
    }
    assertThat(further).isBetween(1500, 2010);
    RetryBudget quiet = new RetryBudget();
    quiet.onFirstAttempt(at(0));
    assertThat(quiet.tryRetry(at(0))).isTrue();
  }
}
