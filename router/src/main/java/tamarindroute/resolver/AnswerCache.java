package tamarindroute.resolver;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;

/**
 * Caches answers for their TTL, negative ones for that of their SOA record (RFC 2308), and marks
 * them as stale after that (RFC 8767). The number of answers is bounded.
 */
public final class AnswerCache {

  /** Longest time for which an answer is fresh, whatever its TTL. */
  private static final long MAX_TTL_SECONDS = 3600;

  /** Longest time for which a negative answer is fresh (RFC 2308, 5). */
  private static final long MAX_NEGATIVE_TTL_SECONDS = 300;

  /** TTL of stale answers (RFC 8767, 4). */
  private static final long STALE_TTL_SECONDS = 30;

  private static final int MAX_ENTRIES = 2048;

  private static final int MAX_ANSWER_BYTES = 4096;

  /** A question of class IN. */
  public record Question(Name name, int type) {}

  /**
   * A cached answer with its remaining TTLs.
   *
   * @param stale whether it is past its TTL
   */
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

  /** Caches a validated answer, if its TTL is not 0 and it is not too large. */
  public void put(Question question, Message message, Duration now) {
    List<Record> answer = List.copyOf(message.getSection(Section.ANSWER));
    List<Record> authority = List.copyOf(message.getSection(Section.AUTHORITY));
    boolean negative = answer.isEmpty() || message.getRcode() != Rcode.NOERROR;
    long ttl = negative ? negativeTtl(authority) : positiveTtl(answer);
    if (ttl > 0 && message.numBytes() <= MAX_ANSWER_BYTES) {
      entries.put(
          question, new Entry(message.getRcode(), answer, authority, now, now.plusSeconds(ttl)));
    }
  }

  private static long negativeTtl(List<Record> authority) {
    long ttl =
        authority.stream()
            .filter(SOARecord.class::isInstance)
            .mapToLong(soa -> Math.min(soa.getTTL(), ((SOARecord) soa).getMinimum()))
            .min()
            .orElse(0);
    return Math.min(MAX_NEGATIVE_TTL_SECONDS, ttl);
  }

  private static long positiveTtl(List<Record> answer) {
    long ttl = answer.stream().mapToLong(Record::getTTL).min().orElse(0);
    return Math.min(MAX_TTL_SECONDS, ttl);
  }

  /** Returns an answer that is within its TTL. */
  public Optional<CachedAnswer> fresh(Question question, Duration now) {
    Entry entry = entries.get(question);
    if (entry == null || entry.until.compareTo(now) <= 0) {
      return Optional.empty();
    }
    return Optional.of(toAnswer(question, entry, now));
  }

  /** Returns an answer that is within its TTL or past it by less than a time. */
  public Optional<CachedAnswer> stale(Question question, Duration maxStaleness, Duration now) {
    Entry entry = entries.get(question);
    if (entry == null) {
      return Optional.empty();
    }
    if (entry.until.plus(maxStaleness).compareTo(now) <= 0) {
      entries.remove(question);
      return Optional.empty();
    }
    return Optional.of(toAnswer(question, entry, now));
  }

  private static CachedAnswer toAnswer(Question question, Entry entry, Duration now) {
    boolean stale = entry.until.compareTo(now) <= 0;
    long age = now.minus(entry.since).toSeconds();
    Message message = new Message();
    message.getHeader().setRcode(entry.rcode);
    message.addRecord(
        Record.newRecord(question.name(), question.type(), DClass.IN), Section.QUESTION);
    add(message, entry.answer, Section.ANSWER, age, stale);
    add(message, entry.authority, Section.AUTHORITY, age, stale);
    return new CachedAnswer(message, stale);
  }

  /** Adds records with their remaining TTLs, or the TTL of stale answers. */
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

  /** Returns the number of answers; for tests of the limit. */
  int size() {
    return entries.size();
  }
}
