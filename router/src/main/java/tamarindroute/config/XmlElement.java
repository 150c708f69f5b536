package tamarindroute.config;

import java.io.IOException;
import java.io.InputStream;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import javax.xml.XMLConstants;
import javax.xml.parsers.ParserConfigurationException;
import javax.xml.parsers.SAXParserFactory;
import javax.xml.transform.stream.StreamSource;
import javax.xml.validation.Schema;
import javax.xml.validation.SchemaFactory;
import javax.xml.validation.ValidatorHandler;
import org.xml.sax.Attributes;
import org.xml.sax.InputSource;
import org.xml.sax.Locator;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;
import org.xml.sax.XMLReader;
import org.xml.sax.helpers.DefaultHandler;

/**
 * One element of a file that keeps to the schema, with the schema's defaults filled in, and where
 * it stands.
 */
public final class XmlElement {

  private static final String SCHEMA = "tamarindroute.xsd";

  /** A thousand locations with a thousand networks each have no place in one file. */
  private static final long LARGEST = 4 << 20;

  private static final int MOST_FAULTS = 100;

  public final String name;
  public final int line;
  public final int column;
  private final Map<String, String> attributes = new HashMap<>();
  private final List<XmlElement> children = new ArrayList<>();

  private XmlElement(String name, int line, int column) {
    this.name = name;
    this.line = line;
    this.column = column;
  }

  /** The attribute; null where it is absent and has no default. */
  public String attribute(String attribute) {
    return attributes.get(attribute);
  }

  public int integer(String attribute) {
    return Integer.parseInt(attributes.get(attribute).strip());
  }

  public List<XmlElement> children(String child) {
    return children.stream().filter(one -> one.name.equals(child)).toList();
  }

  /** The one child of this name; null where it is absent. */
  public XmlElement child(String child) {
    return children(child).stream().findFirst().orElse(null);
  }

  static XmlElement read(Path file, List<SettingsFault> faults) {
    return read(file, XmlElement.class.getResource(SCHEMA), faults);
  }

  /**
   * Reads a file; what keeps it from being one of the schema goes to the faults, and null comes
   * back.
   */
  public static XmlElement read(Path file, URL schema, List<SettingsFault> faults) {
    try {
      if (Files.size(file) > LARGEST) {
        faults.add(new SettingsFault(file.toString(), 0, 0, "larger than " + LARGEST + " bytes"));
        return null;
      }
      SAXParserFactory parsers = SAXParserFactory.newInstance();
      parsers.setNamespaceAware(true);
      parsers.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
      // No external entities, and no internal ones that grow: a file that declares any is refused.
      parsers.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
      ValidatorHandler validator = schema(schema).newValidatorHandler();
      Tree tree = new Tree(file.toString(), faults);
      validator.setContentHandler(tree);
      validator.setErrorHandler(tree);
      XMLReader reader = parsers.newSAXParser().getXMLReader();
      reader.setContentHandler(validator);
      reader.setErrorHandler(tree);
      try (InputStream in = Files.newInputStream(file)) {
        reader.parse(new InputSource(in));
      }
      return tree.broken ? null : tree.root;
    } catch (SAXParseException e) {
      // Told by the handler already.
      return null;
    } catch (IOException e) {
      faults.add(new SettingsFault(file.toString(), 0, 0, "can't be read: " + e));
      return null;
    } catch (SAXException | ParserConfigurationException e) {
      faults.add(new SettingsFault(file.toString(), 0, 0, e.getMessage()));
      return null;
    }
  }

  private static Schema schema(URL told) throws SAXException, IOException {
    SchemaFactory schemas = SchemaFactory.newInstance(XMLConstants.W3C_XML_SCHEMA_NS_URI);
    schemas.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
    schemas.setProperty(XMLConstants.ACCESS_EXTERNAL_DTD, "");
    schemas.setProperty(XMLConstants.ACCESS_EXTERNAL_SCHEMA, "");
    try (InputStream in = told.openStream()) {
      return schemas.newSchema(new StreamSource(in));
    } catch (SAXParseException e) {
      // Not the file's fault, so that no place in it can be told.
      throw new IllegalStateException("the schema " + told + " is none: " + e, e);
    }
  }

  /** Gathers the elements, and the faults with their places. */
  private static final class Tree extends DefaultHandler {

    private final String file;
    private final List<SettingsFault> faults;
    private final ArrayDeque<XmlElement> open = new ArrayDeque<>();
    private Locator locator;
    private XmlElement root;
    private boolean broken;

    Tree(String file, List<SettingsFault> faults) {
      this.file = file;
      this.faults = faults;
    }

    @Override
    public void setDocumentLocator(Locator here) {
      locator = here;
    }

    @Override
    public void startElement(String uri, String name, String qualified, Attributes told) {
      XmlElement element =
          new XmlElement(
              name,
              locator == null ? 0 : locator.getLineNumber(),
              locator == null ? 0 : locator.getColumnNumber());
      for (int i = 0; i < told.getLength(); i++) {
        element.attributes.put(told.getLocalName(i), told.getValue(i));
      }
      if (open.isEmpty()) {
        root = element;
      } else {
        open.peek().children.add(element);
      }
      open.push(element);
    }

    @Override
    public void endElement(String uri, String name, String qualified) {
      open.pop();
    }

    @Override
    public void warning(SAXParseException e) {
      error(e);
    }

    @Override
    public void error(SAXParseException e) {
      broken = true;
      if (faults.size() < MOST_FAULTS) {
        faults.add(
            new SettingsFault(file, e.getLineNumber(), e.getColumnNumber(), plain(e.getMessage())));
      }
    }

    @Override
    public void fatalError(SAXParseException e) throws SAXException {
      error(e);
      throw e;
    }

    /** The validator's words without its rule's number and the namespace. */
    private static String plain(String message) {
      return message
          .replaceFirst("^[a-zA-Z0-9.\\-]+: ", "")
          .replaceAll("\"urn:tamarindroute:[a-z]+:1\":", "");
    }
  }
}
