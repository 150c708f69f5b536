package tamarindroute.variants;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigDecimal;
import java.math.MathContext;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * All tables at one path of a document, such as every {@code [[tier.kind]]}, to be changed alike.
 * Numbers are changed one by one, also those of a range; each change is monotonic, so ranges stay
 * ordered.
 */
final class TableSelection {

  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  /** Digits of a changed number; the files have two. */
  private static final MathContext DIGITS = new MathContext(4);

  private final List<ObjectNode> tables;

  private TableSelection(List<ObjectNode> tables) {
    this.tables = tables;
  }

  /** The tables at the names in turn, in all tables of the arrays on the way. */
  static TableSelection at(ObjectNode document, String... names) {
    List<ObjectNode> found = List.of(document);
    for (String name : names) {
      List<ObjectNode> next = new ArrayList<>();
      for (ObjectNode table : found) {
        addTables(table.path(name), next);
      }
      found = next;
    }
    return new TableSelection(found);
  }

  private static void addTables(JsonNode node, List<ObjectNode> to) {
    if (node instanceof ObjectNode table) {
      to.add(table);
    } else if (node.isArray()) {
      node.forEach(element -> addTables(element, to));
    }
  }

  /** The tables that fulfil a condition. */
  TableSelection where(Predicate<ObjectNode> condition) {
    return new TableSelection(tables.stream().filter(condition).toList());
  }

  Optional<ObjectNode> findFirst() {
    return tables.stream().findFirst();
  }

  void each(Consumer<ObjectNode> change) {
    tables.forEach(change);
  }

  TableSelection set(String key, String value) {
    return put(key, NODES.textNode(value));
  }

  TableSelection set(String key, boolean value) {
    return put(key, NODES.booleanNode(value));
  }

  /** Sets a value of strings. */
  TableSelection set(String key, List<String> values) {
    ArrayNode array = NODES.arrayNode();
    values.forEach(array::add);
    return put(key, array);
  }

  /** Sets one number. */
  TableSelection set(String key, double value) {
    return put(key, number(BigDecimal.valueOf(value)));
  }

  /** Sets a range. */
  TableSelection set(String key, double low, double high) {
    return put(
        key,
        NODES
            .arrayNode()
            .add(number(BigDecimal.valueOf(low)))
            .add(number(BigDecimal.valueOf(high))));
  }

  TableSelection put(String key, JsonNode value) {
    tables.forEach(table -> table.set(key, value.deepCopy()));
    return this;
  }

  /** Sets a range where the key is there, and leaves the other tables. */
  TableSelection setPresent(String key, double low, double high) {
    where(table -> table.has(key)).set(key, low, high);
    return this;
  }

  /** Multiplies a number, or each of a range, where the key is there. */
  TableSelection times(String key, double factor) {
    return change(key, value -> value.multiply(BigDecimal.valueOf(factor)));
  }

  /** As {@link #times}, but not under the least; what is under it already stays. */
  TableSelection timesDownTo(String key, double factor, double least) {
    return change(
        key,
        value ->
            value.multiply(BigDecimal.valueOf(factor)).max(value.min(BigDecimal.valueOf(least))));
  }

  /** As {@link #times}, but not over the most; what is over it already stays. */
  TableSelection timesUpTo(String key, double factor, double most) {
    return change(
        key,
        value ->
            value.multiply(BigDecimal.valueOf(factor)).min(value.max(BigDecimal.valueOf(most))));
  }

  /** Lowers what is over the most. */
  TableSelection atMost(String key, double most) {
    return change(key, value -> value.min(BigDecimal.valueOf(most)));
  }

  /** Rounds to whole numbers, halves up. */
  TableSelection whole(String key) {
    return change(key, value -> value.setScale(0, RoundingMode.HALF_UP));
  }

  private TableSelection change(String key, UnaryOperator<BigDecimal> change) {
    for (ObjectNode table : tables) {
      if (table.has(key)) {
        table.set(key, changed(table.get(key), change));
      }
    }
    return this;
  }

  private static JsonNode changed(JsonNode value, UnaryOperator<BigDecimal> change) {
    if (value.isArray()) {
      ArrayNode array = NODES.arrayNode();
      value.forEach(element -> array.add(changed(element, change)));
      return array;
    }
    if (!value.isNumber()) {
      return value;
    }
    BigDecimal before = value.decimalValue();
    BigDecimal after = change.apply(before);
    return after.compareTo(before) == 0 ? value : number(after);
  }

  private static JsonNode number(BigDecimal value) {
    return NODES.numberNode(value.round(DIGITS));
  }

  /** The greatest number of a value. */
  static double high(JsonNode value) {
    double high = value.asDouble();
    for (JsonNode element : value) {
      high = Math.max(high, element.asDouble());
    }
    return high;
  }

  /** The least number of a value. */
  static double low(JsonNode value) {
    double low = value.isArray() ? Double.MAX_VALUE : value.asDouble();
    for (JsonNode element : value) {
      low = Math.min(low, element.asDouble());
    }
    return low;
  }
}
