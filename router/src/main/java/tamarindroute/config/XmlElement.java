package tamarindroute.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An element of a settings file that is valid by its schema, with the schema's default values
 * filled in.
 *
 * @param name local name
 * @param line line of the start tag's end, from 1; 0 if unknown
 * @param column column of the start tag's end, from 1; 0 if unknown
 * @param attributes values by local name
 * @param children child elements in document order
 */
public record XmlElement(
    String name, int line, int column, Map<String, String> attributes, List<XmlElement> children) {

  /** Returns the value of an attribute that the schema requires or has a default for. */
  public String attribute(String attribute) {
    String value = attributes.get(attribute);
    if (value == null) {
      throw new IllegalArgumentException(
          "element \"" + name + "\" has no attribute \"" + attribute + "\"");
    }
    return value;
  }

  /** Returns the value of an attribute that may be absent. */
  public Optional<String> optionalAttribute(String attribute) {
    return Optional.ofNullable(attributes.get(attribute));
  }

  /** Returns the value of an integer attribute that the schema requires or has a default for. */
  public int integer(String attribute) {
    return Integer.parseInt(attribute(attribute).strip());
  }

  /** Returns the child elements of this name, in document order. */
  public List<XmlElement> children(String child) {
    return children.stream().filter(element -> element.name.equals(child)).toList();
  }

  /** Returns the first child element of this name. */
  public Optional<XmlElement> child(String child) {
    return children.stream().filter(element -> element.name.equals(child)).findFirst();
  }
}
