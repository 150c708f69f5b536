package tamarindroute.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.xml.sax.Attributes;
import org.xml.sax.Locator;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;
import org.xml.sax.helpers.DefaultHandler;

/** Builds the tree of elements from parser events and collects validation errors as faults. */
final class XmlTreeBuilder extends DefaultHandler {

  private static final int MAX_FAULTS = 100;

  private final String file;
  private final List<SettingsFault> faults;
  private final ArrayDeque<XmlElement> openElements = new ArrayDeque<>();
  private Locator locator;
  private XmlElement root;
  private boolean invalid;

  XmlTreeBuilder(String file, List<SettingsFault> faults) {
    this.file = file;
    this.faults = faults;
  }

  /** Returns the root element; empty if any error was reported. */
  Optional<XmlElement> root() {
    return invalid ? Optional.empty() : Optional.ofNullable(root);
  }

  @Override
  public void setDocumentLocator(Locator documentLocator) {
    locator = documentLocator;
  }

  @Override
  public void startElement(String uri, String name, String qualifiedName, Attributes attributes) {
    XmlElement element =
        new XmlElement(
            name,
            locator == null ? 0 : locator.getLineNumber(),
            locator == null ? 0 : locator.getColumnNumber(),
            valuesByName(attributes),
            new ArrayList<>());
    if (openElements.isEmpty()) {
      root = element;
    } else {
      openElements.peek().children().add(element);
    }
    openElements.push(element);
  }

  private static Map<String, String> valuesByName(Attributes attributes) {
    Map<String, String> values = new HashMap<>();
    for (int i = 0; i < attributes.getLength(); i++) {
      values.put(attributes.getLocalName(i), attributes.getValue(i));
    }
    return values;
  }

  @Override
  public void endElement(String uri, String name, String qualifiedName) {
    openElements.pop();
  }

  @Override
  public void warning(SAXParseException warning) {
    error(warning);
  }

  @Override
  public void error(SAXParseException error) {
    invalid = true;
    if (faults.size() < MAX_FAULTS) {
      faults.add(
          new SettingsFault(
              file,
              error.getLineNumber(),
              error.getColumnNumber(),
              withoutRuleAndNamespace(error.getMessage())));
    }
  }

  @Override
  public void fatalError(SAXParseException error) throws SAXException {
    error(error);
    throw error;
  }

  /** Strips the number of the violated schema rule and the namespace from a validator's message. */
  private static String withoutRuleAndNamespace(String message) {
    return message
        .replaceFirst("^[a-zA-Z0-9.\\-]+: ", "")
        .replaceAll("\"urn:tamarindroute:[a-z]+:1\":", "");
  }
}
