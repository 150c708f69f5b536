package tamarindroute.resolver;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
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
 * Validates answers: they must be to the question sent, including the case of its letters, and only
 * records of its name and of aliases from there within the zone are accepted.
 */
public final class AnswerValidator {

  /** What an answer is. */
  public sealed interface Verdict {}

  /** Usable; the message holds only the accepted records. */
  public record Accepted(Message message) implements Verdict {}

  /** Truncated; the question is to be repeated over TCP. */
  public record Truncated() implements Verdict {}

  /** The upstream cannot or will not answer. */
  public record Unusable(String reason) implements Verdict {}

  /** Not an answer to the question: forged or late, so that the genuine one may still come. */
  public record Mismatch(String reason) implements Verdict {}

  private static final int MAX_ALIASES = 8;
  private static final int MAX_RECORDS = 200;
  private static final int HEADER_LENGTH = 12;
  private static final int FLAGS_OFFSET = 2;
  private static final int RESPONSE_FLAG = 0x80;

  private AnswerValidator() {}

  /**
   * Validates the bytes of an answer.
   *
   * @param id the id of the query
   * @param name the name asked for, as spelled in the query
   * @param type the type asked for
   * @param zone the zone that the upstream serves
   */
  public static Verdict validate(byte[] bytes, int id, Name name, int type, Name zone) {
    if (bytes.length < HEADER_LENGTH
        || (bytes[FLAGS_OFFSET] & RESPONSE_FLAG) == 0
        || idOf(bytes) != id) {
      return new Mismatch("not a response, or with another id");
    }
    Message message;
    try {
      message = new Message(bytes);
    } catch (IOException | RuntimeException e) {
      return new Mismatch("malformed: " + e.getMessage());
    }
    if (message.getHeader().getOpcode() != Opcode.QUERY
        || !isQuestion(message.getQuestion(), name, type)) {
      return new Mismatch("another question");
    }
    if (message.getHeader().getFlag(Flags.TC)) {
      return new Truncated();
    }
    int rcode = message.getRcode();
    if (rcode != Rcode.NOERROR && rcode != Rcode.NXDOMAIN) {
      return new Unusable(Rcode.string(rcode));
    }
    return acceptRecords(message, rcode, name, type, zone);
  }

  private static int idOf(byte[] bytes) {
    return ((bytes[0] & 0xFF) << 8) | (bytes[1] & 0xFF);
  }

  private static boolean isQuestion(Record question, Name name, int type) {
    return question != null
        && question.getType() == type
        && question.getDClass() == DClass.IN
        && Arrays.equals(question.getName().toWire(), name.toWire());
  }

  private static Verdict acceptRecords(Message message, int rcode, Name name, int type, Name zone) {
    List<Record> answers = message.getSection(Section.ANSWER);
    if (answers.size() > MAX_RECORDS) {
      return new Unusable(answers.size() + " records, more than " + MAX_RECORDS);
    }
    Message accepted = new Message();
    accepted.getHeader().setRcode(rcode);
    accepted.addRecord(Record.newRecord(name, type, DClass.IN), Section.QUESTION);
    acceptAnswers(answers, name, type, zone, accepted);
    acceptSoa(message.getSection(Section.AUTHORITY), name, zone, accepted);
    boolean empty =
        accepted.getSection(Section.ANSWER).isEmpty()
            && accepted.getSection(Section.AUTHORITY).isEmpty();
    if (empty && rcode == Rcode.NOERROR) {
      return new Unusable("neither records nor an SOA: a referral, or a lame server");
    }
    return new Accepted(accepted);
  }

  /**
   * Follows aliases from the name asked for; the target of one out of the zone is not looked at.
   */
  private static void acceptAnswers(
      List<Record> answers, Name name, int type, Name zone, Message accepted) {
    Optional<Name> next = Optional.of(name);
    for (int i = 0; i <= MAX_ALIASES && next.isPresent(); i++) {
      Name current = next.get();
      Name alias = null;
      for (Record record : recordsAt(answers, current)) {
        if (record.getType() == type || record.getType() == Type.CNAME || type == Type.ANY) {
          accepted.addRecord(record, Section.ANSWER);
          if (record instanceof CNAMERecord cname && type != Type.CNAME) {
            alias = cname.getTarget();
          }
        }
      }
      next =
          Optional.ofNullable(alias)
              .filter(target -> target.subdomain(zone) && !target.equals(current));
    }
  }

  private static void acceptSoa(List<Record> authority, Name name, Name zone, Message accepted) {
    for (Record record : authority) {
      if (record.getType() == Type.SOA
          && record.getName().subdomain(zone)
          && name.subdomain(record.getName())) {
        accepted.addRecord(record, Section.AUTHORITY);
      }
    }
  }

  private static List<Record> recordsAt(List<Record> records, Name name) {
    List<Record> found = new ArrayList<>();
    for (Record record : records) {
      if (record.getName().equals(name) && record.getDClass() == DClass.IN) {
        found.add(record);
      }
    }
    return found;
  }
}
