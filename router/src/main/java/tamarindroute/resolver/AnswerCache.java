package tamarindroute.resolver;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;

/**
 * Owns the answers that are kept: for their TTL, what says no for its SOA's (RFC 2308), and past
 * that, marked as stale, for a bounded time while nobody answers (RFC 8767). It must never lengthen
 * a TTL, nor keep more than its bound of answers.
 */
public final class AnswerCache {

  /** An hour, whatever the TTL says: a mistake at another's is not kept for a week. */
  private static final long MAX_TTL_SECONDS = 3600;

  /** RFC 2308 wants no more than some minutes for what says no. */
  private static final long MAX_NEGATIVE_TTL_SECONDS = 300;

  /** RFC 8767: a stale answer is given for half a minute at a time. */
  private static final long STALE_TTL_SECONDS = 30;

  /** A few megabytes of answers at the largest that is kept. */
  private static final int MAX_ENTRIES = 2048;

  private static final int MAX_ANSWER_BYTES = 4096;

  /** What is asked; the class is always IN. */
  public record Question(Name name, int type) {}

  /** An answer as it is given out now. */
  public record CachedAnswer(Message message, boolean stale) {}

  private record Entry(
      int rcode, List<Record> answer, List<Record> authority, Duration since, Duration until) {}

  private final Map<Question, Entry> entries =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Question, Entry> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  /** Keeps a checked answer, where it says for how long. */
  public void put(Question question, Message message, Duration now) {
    List<Record> answer = List.copyOf(message.getSection(Section.ANSWER));
    List<Record> authority = List.copyOf(message.getSection(Section.AUTHORITY));
    long ttl;
    if (answer.isEmpty() || message.getRcode() != 0) {
      ttl =
          authority.stream()
              .filter(SOARecord.class::isInstance)
              .mapToLong(soa -> Math.min(soa.getTTL(), ((SOARecord) soa).getMinimum()))
              .min()
              .orElse(0);
      ttl = Math.min(MAX_NEGATIVE_TTL_SECONDS, ttl);
    } else {
      ttl = Math.min(MAX_TTL_SECONDS, answer.stream().mapToLong(Record::getTTL).min().orElse(0));
    }
    if (ttl > 0 && message.numBytes() <= MAX_ANSWER_BYTES) {
      entries.put(
          question, new Entry(message.getRcode(), answer, authority, now, now.plusSeconds(ttl)));
    }
  }

  /** What is kept for this question and holds still; null for nothing. */
  public CachedAnswer fresh(Question question, Duration now) {
    Entry entry = entries.get(question);
    return entry == null || entry.until.compareTo(now) <= 0 ? null : found(question, entry, now);
  }

  /** What held until so long ago at the most; null for nothing. */
  public CachedAnswer stale(Question question, Duration longest, Duration now) {
    Entry entry = entries.get(question);
    if (entry == null) {
      return null;
    }
    if (entry.until.plus(longest).compareTo(now) <= 0) {
      entries.remove(question);
      return null;
    }
    return found(question, entry, now);
  }

  private static CachedAnswer found(Question question, Entry entry, Duration now) {
    boolean stale = entry.until.compareTo(now) <= 0;
    long age = now.minus(entry.since).toSeconds();
    Message message = new Message();
    message.getHeader().setRcode(entry.rcode);
    message.addRecord(Record.newRecord(question.name(), question.type(), 1), Section.QUESTION);
    add(message, entry.answer, Section.ANSWER, age, stale);
    add(message, entry.authority, Section.AUTHORITY, age, stale);
    return new CachedAnswer(message, stale);
  }

  /** Adds records with what is left of their TTL, or past it with the stale span. */
  private static void add(
      Message message, List<Record> records, int section, long age, boolean stale) {
    for (Record record : records) {
      long ttl =
          stale ? STALE_TTL_SECONDS : Math.max(0, Math.min(MAX_TTL_SECONDS, record.getTTL()) - age);
      message.addRecord(
          Record.newRecord(
              record.getName(),
              record.getType(),
              record.getDClass(),
              ttl,
              record.rdataToWireCanonical()),
          section);
    }
  }

  /** How many answers are kept; for tests of the bound. */
  int size() {
    return entries.size();
  }
}
