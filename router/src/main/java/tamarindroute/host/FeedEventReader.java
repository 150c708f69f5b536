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
 * Streaming reader of one response of the control feed. Holds one entry at a time, because a list
 * of thousands of caches as a JSON tree does not fit the heap of a gateway of 32 MB. The whole text
 * is scanned for well-formedness before anything of it is delivered.
 */
final class FeedEventReader {

  /** Receives the events of a response in their order. */
  interface FeedEventHandler {

    /**
     * Whether the event of this number is to be read.
     *
     * @throws MalformedMessageException to stop reading
     */
    boolean accepts(long number) throws MalformedMessageException;

    /** An entry of the event's list of caches. */
    void onEndpoint(JsonObject entry);

    /** The end of the event's list of caches; a complete list replaces all earlier ones. */
    void onEndpointsEnd(boolean completeList);

    /** A purge. */
    void onPurge(JsonObject purge);

    /** The end of the event, even if parts of it were malformed. */
    void onEventEnd(long number);
  }

  /** Bounds the memory for event numbers; further events are left for the next response. */
  private static final int MAX_EVENTS = 65_536;

  private static final int INITIAL_CAPACITY = 16;

  private final String text;
  private long newestNumber;
  private long[] numbers = new long[INITIAL_CAPACITY];
  private int count;

  /**
   * Scans a response.
   *
   * @throws MalformedMessageException if the text is not one complete JSON object with a number and
   *     a list of numbered events
   */
  FeedEventReader(String text) throws MalformedMessageException {
    this.text = text;
    try {
      scan(new JsonReader(new StringReader(text)));
    } catch (MalformedMessageException e) {
      throw e;
    } catch (IOException | IllegalStateException | NumberFormatException e) {
      throw new MalformedMessageException("not a list of numbered events: " + e.getMessage());
    }
  }

  private void scan(JsonReader json) throws IOException {
    boolean hasNumber = false;
    boolean hasEvents = false;
    json.beginObject();
    while (json.hasNext()) {
      switch (json.nextName()) {
        case FeedFormat.NUMBER -> {
          newestNumber = json.nextLong();
          hasNumber = true;
        }
        case FeedFormat.EVENTS -> {
          scanEvents(json);
          hasEvents = true;
        }
        default -> json.skipValue();
      }
    }
    json.endObject();
    if (json.peek() != JsonToken.END_DOCUMENT || !hasNumber || !hasEvents) {
      throw new MalformedMessageException("not a list of numbered events");
    }
  }

  private void scanEvents(JsonReader json) throws IOException {
    json.beginArray();
    while (json.hasNext()) {
      long number = scanEventNumber(json);
      if (count < MAX_EVENTS) {
        addNumber(number);
      }
    }
    json.endArray();
  }

  private static long scanEventNumber(JsonReader json) throws IOException {
    Long number = null;
    json.beginObject();
    while (json.hasNext()) {
      if (json.nextName().equals(FeedFormat.NUMBER)) {
        number = json.nextLong();
      } else {
        json.skipValue();
      }
    }
    json.endObject();
    if (number == null) {
      throw new MalformedMessageException("an event has no number \"" + FeedFormat.NUMBER + "\"");
    }
    return number;
  }

  private void addNumber(long number) {
    if (count == numbers.length) {
      numbers = Arrays.copyOf(numbers, 2 * count);
    }
    numbers[count] = number;
    count++;
  }

  /** The newest event number that the feed knows, by its own account. */
  long newestNumber() {
    return newestNumber;
  }

  /** Whether the response holds this event and no other. */
  boolean containsOnly(long number) {
    return count == 1 && numbers[0] == number && newestNumber == number;
  }

  /**
   * Delivers the events that the handler accepts.
   *
   * @throws MalformedMessageException if the handler stops reading; events before that were
   *     delivered
   */
  void deliverTo(FeedEventHandler handler) throws MalformedMessageException {
    try {
      JsonReader json = new JsonReader(new StringReader(text));
      json.beginObject();
      while (json.hasNext()) {
        if (json.nextName().equals(FeedFormat.EVENTS)) {
          deliverEvents(json, handler);
          return;
        }
        json.skipValue();
      }
    } catch (MalformedMessageException e) {
      throw e;
    } catch (IOException | JsonParseException | IllegalStateException e) {
      throw new MalformedMessageException("not a list of events: " + e.getMessage());
    }
  }

  private void deliverEvents(JsonReader json, FeedEventHandler handler) throws IOException {
    json.beginArray();
    for (int i = 0; i < count; i++) {
      if (handler.accepts(numbers[i])) {
        deliverEvent(json, numbers[i], handler);
        handler.onEventEnd(numbers[i]);
      } else {
        json.skipValue();
      }
    }
  }

  private static void deliverEvent(JsonReader json, long number, FeedEventHandler handler)
      throws IOException {
    json.beginObject();
    while (json.hasNext()) {
      String name = json.nextName();
      boolean isObject = json.peek() == JsonToken.BEGIN_OBJECT;
      if (name.equals(FeedFormat.ENDPOINTS) && isObject) {
        deliverEndpoints(json, number, handler);
      } else if (name.equals(FeedFormat.PURGE) && isObject) {
        handler.onPurge(JsonParser.parseReader(json).getAsJsonObject());
      } else {
        if (name.equals(FeedFormat.ENDPOINTS) || name.equals(FeedFormat.PURGE)) {
          logMalformed(number, "\"" + name + "\" is not an object");
        }
        json.skipValue();
      }
    }
    json.endObject();
  }

  private static void deliverEndpoints(JsonReader json, long number, FeedEventHandler handler)
      throws IOException {
    boolean completeList = false;
    boolean hasEntries = false;
    json.beginObject();
    while (json.hasNext()) {
      String name = json.nextName();
      if (name.equals(FeedFormat.COMPLETE_LIST) && json.peek() == JsonToken.BOOLEAN) {
        completeList = json.nextBoolean();
      } else if (name.equals(FeedFormat.ENDPOINT_ENTRIES) && json.peek() == JsonToken.BEGIN_ARRAY) {
        hasEntries = true;
        deliverEntries(json, number, handler);
      } else {
        json.skipValue();
      }
    }
    json.endObject();
    if (hasEntries) {
      handler.onEndpointsEnd(completeList);
    } else {
      logMalformed(number, "no list \"" + FeedFormat.ENDPOINT_ENTRIES + "\"");
    }
  }

  private static void deliverEntries(JsonReader json, long number, FeedEventHandler handler)
      throws IOException {
    json.beginArray();
    while (json.hasNext()) {
      JsonElement entry = JsonParser.parseReader(json);
      if (entry.isJsonObject()) {
        handler.onEndpoint(entry.getAsJsonObject());
      } else {
        logMalformed(
            number, "an entry of \"" + FeedFormat.ENDPOINT_ENTRIES + "\" is not an object");
      }
    }
    json.endArray();
  }

  private static void logMalformed(long number, String reason) {
    Log.info("feed-event-malformed", "event " + number + ": " + reason);
  }
}
