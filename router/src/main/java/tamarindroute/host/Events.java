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
import tamarindroute.protocol.MalformedException;

/**
 * Owns the reading of the control feed's numbered events, one entry at a time: a list of thousands
 * of caches as one tree did not fit the heap of a gateway of 32 MB, which was deaf to the feed from
 * then on. The text is looked through to its end before anything of it is given on. It must never
 * know what an entry means.
 */
final class Events {

  /** What the events are given to, in their order. */
  interface Taker {

    /** Whether the event of this number is to be read. */
    boolean wants(long number) throws MalformedException;

    /** An entry of the event's list. */
    void server(JsonObject entry);

    /** The list is over. */
    void members(boolean full);

    void purge(JsonObject purge);

    /** The event is over, whatever of it could be read. */
    void over(long number);
  }

  /**
   * More at once are left for the next answer: their numbers alone would weigh on the smallest
   * heap.
   */
  private static final int MOST = 65_536;

  private final String text;
  private long newest;
  private long[] numbers = new long[16];
  private int count;

  /** Looks through a text; throws where it is not whole, or an event has no number. */
  Events(String text) throws MalformedException {
    this.text = text;
    try {
      JsonReader in = new JsonReader(new StringReader(text));
      boolean numbered = false;
      boolean listed = false;
      in.beginObject();
      while (in.hasNext()) {
        switch (in.nextName()) {
          case "n" -> {
            newest = in.nextLong();
            numbered = true;
          }
          case "events" -> {
            in.beginArray();
            while (in.hasNext()) {
              number(in);
            }
            in.endArray();
            listed = true;
          }
          default -> in.skipValue();
        }
      }
      in.endObject();
      if (in.peek() != JsonToken.END_DOCUMENT || !numbered || !listed) {
        throw new MalformedException("no numbered events");
      }
    } catch (MalformedException e) {
      throw e;
    } catch (IOException | IllegalStateException | NumberFormatException e) {
      throw new MalformedException("no numbered events: " + e.getMessage());
    }
  }

  /** The number of the last event that the text speaks of. */
  long newest() {
    return newest;
  }

  /** Whether it is this event and no other. */
  boolean only(long number) {
    return count == 1 && numbers[0] == number && newest == number;
  }

  private void number(JsonReader in) throws IOException {
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
      throw new MalformedException("an event without a number");
    }
    if (count < MOST) {
      numbers = count < numbers.length ? numbers : Arrays.copyOf(numbers, 2 * count);
      numbers[count++] = number;
    }
  }

  /** Gives the events on. */
  void each(Taker taker) throws MalformedException {
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
          if (taker.wants(numbers[i])) {
            event(in, numbers[i], taker);
            taker.over(numbers[i]);
          } else {
            in.skipValue();
          }
        }
        return;
      }
    } catch (MalformedException e) {
      throw e;
    } catch (IOException | JsonParseException | IllegalStateException e) {
      throw new MalformedException("no events: " + e.getMessage());
    }
  }

  private static void event(JsonReader in, long number, Taker taker) throws IOException {
    in.beginObject();
    while (in.hasNext()) {
      String name = in.nextName();
      boolean known = name.equals("members") || name.equals("purge");
      if (known && in.peek() == JsonToken.BEGIN_OBJECT) {
        if (name.equals("members")) {
          members(in, number, taker);
        } else {
          taker.purge(JsonParser.parseReader(in).getAsJsonObject());
        }
      } else {
        unreadable(known, number, name);
        in.skipValue();
      }
    }
    in.endObject();
  }

  private static void members(JsonReader in, long number, Taker taker) throws IOException {
    boolean full = false;
    boolean listed = false;
    in.beginObject();
    while (in.hasNext()) {
      String name = in.nextName();
      if (name.equals("full") && in.peek() == JsonToken.BOOLEAN) {
        full = in.nextBoolean();
      } else if (name.equals("servers") && in.peek() == JsonToken.BEGIN_ARRAY) {
        listed = true;
        in.beginArray();
        while (in.hasNext()) {
          JsonElement entry = JsonParser.parseReader(in);
          unreadable(!entry.isJsonObject(), number, "an entry");
          if (entry.isJsonObject()) {
            taker.server(entry.getAsJsonObject());
          }
        }
        in.endArray();
      } else {
        in.skipValue();
      }
    }
    in.endObject();
    unreadable(!listed, number, "no list");
    if (listed) {
      taker.members(full);
    }
  }

  private static void unreadable(boolean so, long number, String what) {
    if (so) {
      Log.line("event-unreadable", number + ": " + what);
    }
  }
}
