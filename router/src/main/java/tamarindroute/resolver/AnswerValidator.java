package tamarindroute.resolver;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.xbill.DNS.CNAMERecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/**
 * Owns what of an answer is believed: it must be for this very question, to the letter's case
 * (0x20), and only records of the question's name, and of aliases from there, inside the zone that
 * was asked for are taken.
 */
public final class AnswerValidator {

  /** What an answer turned out to be. */
  public sealed interface Verdict {}

  /** Usable: only what is believed is left in it. */
  public record Accepted(Message message) implements Verdict {}

  /** Cut: to be asked again by TCP. */
  public record Truncated() implements Verdict {}

  /** The upstream's own word that it can't or won't. */
  public record Unusable(String reason) implements Verdict {}

  /** Not an answer to this question: a forger's or a late one; the true one may still come. */
  public record Mismatch(String reason) implements Verdict {}

  /** Aliases in one answer; a longer chain is followed by nobody. */
  private static final int MAX_ALIASES = 8;

  /** More records than any answer of ours has. */
  private static final int MAX_RECORDS = 200;

  private static final int HEADER_LENGTH = 12;

  private AnswerValidator() {}

  /** Reads an answer to a query of this id and question, sent to a server of this zone. */
  public static Verdict validate(byte[] bytes, int id, Name asked, int type, Name zone) {
    if (bytes.length < HEADER_LENGTH
        || (bytes[2] & 0x80) == 0
        || ((bytes[0] & 0xFF) << 8 | bytes[1] & 0xFF) != id) {
      return new Mismatch("no answer, or to another id");
    }
    Message message;
    try {
      message = new Message(bytes);
    } catch (IOException | RuntimeException e) {
      return new Mismatch("unreadable: " + e.getMessage());
    }
    Record question = message.getQuestion();
    if (question == null
        || message.getHeader().getOpcode() != Opcode.QUERY
        || question.getType() != type
        || question.getDClass() != DClass.IN
        || !Arrays.equals(question.getName().toWire(), asked.toWire())) {
      return new Mismatch("another question");
    }
    if (message.getHeader().getFlag(Flags.TC)) {
      return new Truncated();
    }
    int rcode = message.getRcode();
    if (rcode != Rcode.NOERROR && rcode != Rcode.NXDOMAIN) {
      return new Unusable(Rcode.string(rcode));
    }
    return believed(message, rcode, asked, type, zone);
  }

  private static Verdict believed(Message message, int rcode, Name asked, int type, Name zone) {
    List<Record> answer = message.getSection(Section.ANSWER);
    if (answer.size() > MAX_RECORDS) {
      return new Unusable("more records than an answer has");
    }
    Message kept = new Message();
    kept.getHeader().setRcode(rcode);
    kept.addRecord(Record.newRecord(asked, type, DClass.IN), Section.QUESTION);
    Name name = asked;
    boolean found = false;
    for (int i = 0; i <= MAX_ALIASES && name != null; i++) {
      Name alias = null;
      for (Record record : records(answer, name)) {
        if (record.getType() == type || record.getType() == Type.CNAME || type == Type.ANY) {
          kept.addRecord(record, Section.ANSWER);
          found = true;
          alias =
              record instanceof CNAMERecord other && type != Type.CNAME ? other.getTarget() : alias;
        }
      }
      // An alias out of the zone is believed, what this server says of its target is not.
      name = alias != null && alias.subdomain(zone) && !alias.equals(name) ? alias : null;
    }
    boolean soa = false;
    for (Record record : message.getSection(Section.AUTHORITY)) {
      if (record.getType() == Type.SOA
          && record.getName().subdomain(zone)
          && asked.subdomain(record.getName())) {
        kept.addRecord(record, Section.AUTHORITY);
        soa = true;
      }
    }
    if (!found && !soa && rcode == Rcode.NOERROR) {
      return new Unusable("neither records nor an SOA: a referral, or lame");
    }
    return new Accepted(kept);
  }

  private static List<Record> records(List<Record> all, Name name) {
    List<Record> of = new ArrayList<>();
    for (Record record : all) {
      if (record.getName().equals(name) && record.getDClass() == DClass.IN) {
        of.add(record);
      }
    }
    return of;
  }
}
