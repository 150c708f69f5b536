package tamarindroute.host;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.util.Arrays;
import tamarindroute.log.Log;
import tamarindroute.protocol.MalformedMessageException;

/**
 * Owns the reading of the control feed's numbered events, one entry at a time: a list of thousands
 * of caches as one tree did not fit the heap of a gateway of 32 MB, which was deaf to the feed from
 * then on. The text is looked through to its end before anything of it is given on. It must never
 * know what an entry means.
 */
final class FeedEventReader {

  /** What the events are given to, in their order. */
  interface FeedEventHandler {

    /** Whether the event of this number is to be read. */
    boolean accepts(long number) throws MalformedMessageException;

    /** An entry of the event's list. */
    void onEndpoint(JsonObject entry);

    /** The list is over. */
    void onEndpointsEnd(boolean full);

    void onPurge(JsonObject purge);

    /** The event is over, whatever of it could be read. */
    void onEventEnd(long number);
  }

  /**
   * More at once are left for the next answer: their numbers alone would weigh on the smallest
   * heap.
   */
  private static final int MAX_EVENTS = 65_536;

  private final String text;
  private long newestNumber;
  private long[] numbers = new long[16];
  private int count;

  /** Looks through a text; throws where it is not whole, or an event has no number. */
  FeedEventReader(String text) throws MalformedMessageException {
    this.text = text;
    try {
      JsonReader in = new JsonReader(new StringReader(text));
      boolean hasNumber = false;
      boolean hasEvents = false;
      in.beginObject();
      while (in.hasNext()) {
        switch (in.nextName()) {
          case "n" -> {
            newestNumber = in.nextLong();
            hasNumber = true;
          }
          case "events" -> {
            in.beginArray();
            while (in.hasNext()) {
              scanEventNumber(in);
            }
            in.endArray();
            hasEvents = true;
          }
          default -> in.skipValue();
        }
      }
      in.endObject();
      if (in.peek() != JsonToken.END_DOCUMENT || !hasNumber || !hasEvents) {
        throw new MalformedMessageException("no numbered events");
      }
    } catch (MalformedMessageException e) {
      throw e;
    } catch (IOException | IllegalStateException | NumberFormatException e) {
      throw new MalformedMessageException("no numbered events: " + e.getMessage());
    }
  }

  /** The number of the last event that the text speaks of. */
  long newestNumber() {
    return newestNumber;
  }

  /** Whether it is this event and no other. */
  boolean containsOnly(long number) {
    return count == 1 && numbers[0] == number && newestNumber == number;
  }

  private void scanEventNumber(JsonReader in) throws IOException {
    Long number = null;
    in.beginObject();
    while (in.hasNext()) {
      if (in.nextName().equals("n")) {
        number = in.nextLong();
      } else {
        in.skipValue();
      }
    }
    in.endObject();
    if (number == null) {
      throw new MalformedMessageException("an event without a number");
    }
    if (count < MAX_EVENTS) {
      numbers = count < numbers.length ? numbers : Arrays.copyOf(numbers, 2 * count);
      numbers[count++] = number;
    }
  }

  /** Gives the events on. */
  void deliverTo(FeedEventHandler handler) throws MalformedMessageException {
    try {
      JsonReader in = new JsonReader(new StringReader(text));
      in.beginObject();
      while (in.hasNext()) {
        if (!in.nextName().equals("events")) {
          in.skipValue();
          continue;
        }
        in.beginArray();
        for (int i = 0; i < count; i++) {
          if (handler.accepts(numbers[i])) {
            readEvent(in, numbers[i], handler);
            handler.onEventEnd(numbers[i]);
          } else {
            in.skipValue();
          }
        }
        return;
      }
    } catch (MalformedMessageException e) {
      throw e;
    } catch (IOException | JsonParseException | IllegalStateException e) {
      throw new MalformedMessageException("no events: " + e.getMessage());
    }
  }

  private static void readEvent(JsonReader in, long number, FeedEventHandler handler)
      throws IOException {
    in.beginObject();
    while (in.hasNext()) {
      String name = in.nextName();
      boolean known = name.equals("members") || name.equals("purge");
      if (known && in.peek() == JsonToken.BEGIN_OBJECT) {
        if (name.equals("members")) {
          readEndpoints(in, number, handler);
        } else {
          handler.onPurge(JsonParser.parseReader(in).getAsJsonObject());
        }
      } else {
        logIfMalformed(known, number, name);
        in.skipValue();
      }
    }
    in.endObject();
  }

  private static void readEndpoints(JsonReader in, long number, FeedEventHandler handler)
      throws IOException {
    boolean full = false;
    boolean hasEvents = false;
    in.beginObject();
    while (in.hasNext()) {
      String name = in.nextName();
      if (name.equals("full") && in.peek() == JsonToken.BOOLEAN) {
        full = in.nextBoolean();
      } else if (name.equals("servers") && in.peek() == JsonToken.BEGIN_ARRAY) {
        hasEvents = true;
        in.beginArray();
        while (in.hasNext()) {
          JsonElement entry = JsonParser.parseReader(in);
          logIfMalformed(!entry.isJsonObject(), number, "an entry");
          if (entry.isJsonObject()) {
            handler.onEndpoint(entry.getAsJsonObject());
          }
        }
        in.endArray();
      } else {
        in.skipValue();
      }
    }
    in.endObject();
    logIfMalformed(!hasEvents, number, "no list");
    if (hasEvents) {
      handler.onEndpointsEnd(full);
    }
  }

  private static void logIfMalformed(boolean so, long number, String what) {
    if (so) {
      Log.info("event-unreadable", number + ": " + what);
    }
  }
}
