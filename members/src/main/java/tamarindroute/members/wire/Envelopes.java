package tamarindroute.members.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import tamarindroute.members.wire.form.Envelope;
import tamarindroute.members.wire.form.Event;
import tamarindroute.members.wire.form.Kind;
import tamarindroute.members.wire.form.Lease;
import tamarindroute.members.wire.form.LeaseKind;
import tamarindroute.members.wire.form.Life;
import tamarindroute.members.wire.form.News;
import tamarindroute.members.wire.form.Said;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.Message;
import tamarindroute.membership.Rumour;
import tamarindroute.membership.Standing;
import tamarindroute.protocol.MalformedException;

/**
 * Writes letters in the schema's form and reads them; what is past a bound is neither written nor
 * believed.
 */
public final class Envelopes {

  /** The form levels that this program reads; it writes the lowest, which all can read. */
  public static final int LOWEST = 1;

  public static final int HIGHEST = 1;

  /** What a datagram takes in (net.Datagrams) less the seal's 49 bytes. */
  public static final int LARGEST = 4096 - 49;

  /**
   * Of IPv6 in digits: the longest host there is; names are not taken, asking for them would stop
   * the owner.
   */
  private static final int LONGEST_HOST = 45;

  /** Smaller rumours than 40 bytes there are none, so that more have no room anyway. */
  static final int MOST_RUMOURS = 100;

  /** Levels are few; a greater number is no level. */
  private static final int MOST_LEVEL = 1_000_000;

  private static final Pattern NUMERIC =
      Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");

  private Envelopes() {}

  /** Whether members may be told this host. */
  public static boolean numeric(String host) {
    return host.length() <= LONGEST_HOST && NUMERIC.matcher(host).matches();
  }

  /**
   * The letter's bytes; the last rumours stay out where all have no room, others of them have their
   * turn.
   */
  public static byte[] write(Letter letter) {
    Envelope.Builder envelope =
        Envelope.newBuilder()
            .setLowest(letter.lowest())
            .setHighest(letter.highest())
            .setLevel(LOWEST)
            .setSender(life(letter.sender()))
            .setToBirth(letter.toBirth());
    if (letter.body() instanceof Letter.Said said) {
      write(envelope, said.message());
    } else if (letter.body() instanceof Letter.Facts facts) {
      envelope.setFacts(ByteString.copyFrom(facts.bytes()));
    } else if (letter.body() instanceof Letter.Agreement agreement) {
      envelope.setAgreement(ByteString.copyFrom(agreement.bytes()));
    } else if (letter.body() instanceof Letter.News news) {
      envelope.setNews(
          News.newBuilder()
              .setLast(news.last())
              .addAllEvents(
                  news.events().stream()
                      .map(
                          one ->
                              Event.newBuilder()
                                  .setNumber(one.number())
                                  .setBefore((int) one.before())
                                  .setText(one.text())
                                  .build())
                      .toList()));
    } else if (letter.body() instanceof Letter.Lease lease) {
      envelope.setLease(
          Lease.newBuilder()
              .setGroup(lease.group())
              .setBirth(lease.birth())
              .setKind(LeaseKind.valueOf("LEASE_" + lease.kind().name()))
              .setNumber(lease.number())
              .setPart(lease.part())
              .setLengthMs((int) lease.length().toMillis()));
    }
    byte[] bytes = envelope.build().toByteArray();
    if (bytes.length > LARGEST) {
      throw new IllegalArgumentException(bytes.length + " bytes have no room in a datagram");
    }
    return bytes;
  }

  private static void write(Envelope.Builder envelope, Message message) {
    Said.Builder said =
        Said.newBuilder().setKind(Kind.valueOf(message.kind().name())).setNumber(message.number());
    if (!message.about().equals(message.from())) {
      said.setAbout(life(message.about()));
    }
    // The body's own head: its field and its length.
    int left =
        LARGEST - envelope.build().getSerializedSize() - said.build().getSerializedSize() - 4;
    for (Rumour rumour : message.rumours()) {
      tamarindroute.members.wire.form.Rumour one = form(rumour);
      // Its field and its length; a rumour is never longer than two bytes can say.
      left -= one.getSerializedSize() + 3;
      if (left < 0 || said.getRumoursCount() == MOST_RUMOURS) {
        break;
      }
      said.addRumours(one);
    }
    envelope.setMembership(said);
  }

  private static Life life(Member member) {
    return Life.newBuilder()
        .setHost(member.address().host())
        .setPort(member.address().port())
        .setBirth(member.birth())
        .build();
  }

  private static tamarindroute.members.wire.form.Rumour form(Rumour rumour) {
    return tamarindroute.members.wire.form.Rumour.newBuilder()
        .setAbout(life(rumour.about()))
        .setStanding(tamarindroute.members.wire.form.Standing.valueOf(rumour.standing().name()))
        .setIncarnation(rumour.incarnation())
        .setObserverHost(rumour.observer().host())
        .setObserverPort(rumour.observer().port())
        .build();
  }

  /** What the bytes say, whole and within all bounds. */
  public static Letter read(byte[] bytes) throws MalformedException {
    if (bytes.length > LARGEST) {
      throw new MalformedException("longer than a datagram");
    }
    Envelope envelope;
    try {
      envelope = Envelope.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new MalformedException("not of the schema: " + e.getMessage());
    }
    int lowest = within("lowest level", envelope.getLowest(), MOST_LEVEL);
    int highest = within("highest level", envelope.getHighest(), MOST_LEVEL);
    int level = envelope.getLevel();
    if (level < LOWEST || level > HIGHEST || lowest > highest) {
      throw new MalformedException(
          "of form level "
              + level
              + ", its sender reads "
              + lowest
              + " to "
              + highest
              + ", here "
              + LOWEST
              + " to "
              + HIGHEST
              + " are read");
    }
    Member sender = member(envelope.hasSender(), envelope.getSender());
    long toBirth = natural("birth", envelope.getToBirth());
    return new Letter(
        lowest,
        highest,
        sender,
        toBirth,
        switch (envelope.getBodyCase()) {
          case MEMBERSHIP -> new Letter.Said(message(envelope.getMembership(), sender, toBirth));
          case FACTS -> new Letter.Facts(envelope.getFacts().toByteArray());
          case AGREEMENT -> new Letter.Agreement(envelope.getAgreement().toByteArray());
          case NEWS -> news(envelope.getNews());
          case LEASE -> lease(envelope.getLease());
          case BODY_NOT_SET -> throw new MalformedException("no body that is known here");
        });
  }

  private static Letter.News news(News news) throws MalformedException {
    List<Letter.Event> events = new ArrayList<>();
    long next = 0;
    for (Event one : news.getEventsList()) {
      if (one.getNumber() <= 0 || next > 0 && one.getNumber() != next) {
        throw new MalformedException("events that are not in their order");
      }
      next = one.getNumber() + 1;
      events.add(
          new Letter.Event(
              one.getNumber(), Integer.toUnsignedLong(one.getBefore()), one.getText()));
    }
    if (next > 0 && next - 1 > news.getLast()) {
      throw new MalformedException("events past the last");
    }
    return new Letter.News(natural("number", news.getLast()), events);
  }

  private static Letter.Lease lease(Lease lease) throws MalformedException {
    if (lease.getKind() == LeaseKind.LEASE_NONE || lease.getKind() == LeaseKind.UNRECOGNIZED) {
      throw new MalformedException("a word on shares of an unknown kind, " + lease.getKindValue());
    }
    return new Letter.Lease(
        (int) natural("group", lease.getGroup()),
        Letter.LeaseKind.valueOf(lease.getKind().name().substring("LEASE_".length())),
        natural("birth", lease.getBirth()),
        natural("number", lease.getNumber()),
        natural("part", lease.getPart()),
        Duration.ofMillis(natural("length", lease.getLengthMs())));
  }

  private static Message message(Said said, Member sender, long toBirth) throws MalformedException {
    if (said.getKind() == Kind.KIND_NONE || said.getKind() == Kind.UNRECOGNIZED) {
      throw new MalformedException("an unknown kind, " + said.getKindValue());
    }
    if (said.getRumoursCount() > MOST_RUMOURS) {
      throw new MalformedException("more than " + MOST_RUMOURS + " rumours");
    }
    Member about = said.hasAbout() ? member(true, said.getAbout()) : sender;
    List<Rumour> rumours = new ArrayList<>(said.getRumoursCount());
    for (tamarindroute.members.wire.form.Rumour one : said.getRumoursList()) {
      rumours.add(rumour(one));
    }
    return new Message(
        Message.Kind.valueOf(said.getKind().name()),
        sender,
        toBirth,
        natural("number", said.getNumber()),
        about,
        rumours);
  }

  private static Rumour rumour(tamarindroute.members.wire.form.Rumour one)
      throws MalformedException {
    if (one.getStanding() == tamarindroute.members.wire.form.Standing.STANDING_NONE
        || one.getStanding() == tamarindroute.members.wire.form.Standing.UNRECOGNIZED) {
      throw new MalformedException("an unknown standing, " + one.getStandingValue());
    }
    return new Rumour(
        member(one.hasAbout(), one.getAbout()),
        Standing.valueOf(one.getStanding().name()),
        natural("incarnation", one.getIncarnation()),
        address(one.getObserverHost(), one.getObserverPort()));
  }

  private static Member member(boolean there, Life life) throws MalformedException {
    if (!there) {
      throw new MalformedException("a member is missing");
    }
    return new Member(address(life.getHost(), life.getPort()), natural("birth", life.getBirth()));
  }

  private static Address address(String host, int port) throws MalformedException {
    if (!numeric(host) || port < 1 || port > 65_535) {
      throw new MalformedException("an address that is none");
    }
    return new Address(host, port);
  }

  private static int within(String what, int value, int most) throws MalformedException {
    if (value < 1 || value > most) {
      throw new MalformedException("a " + what + " that is none");
    }
    return value;
  }

  private static long natural(String what, long value) throws MalformedException {
    if (value < 0) {
      throw new MalformedException("a " + what + " below 0");
    }
    return value;
  }
}
