package tamarindroute.config;

import java.io.IOException;
import java.io.InputStream;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import javax.xml.XMLConstants;
import javax.xml.parsers.ParserConfigurationException;
import javax.xml.parsers.SAXParserFactory;
import javax.xml.transform.stream.StreamSource;
import javax.xml.validation.Schema;
import javax.xml.validation.SchemaFactory;
import javax.xml.validation.ValidatorHandler;
import org.xml.sax.InputSource;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;
import org.xml.sax.XMLReader;

/** Parses settings files and validates them against an XML schema. */
public final class XmlFileParser {

  private static final long MAX_FILE_BYTES = 4 << 20;

  private XmlFileParser() {}

  /**
   * Parses a file.
   *
   * @param faults receives the faults found, up to a limit
   * @return the root element; empty if the file cannot be read or is not valid by the schema
   */
  public static Optional<XmlElement> parse(Path file, URL schemaUrl, List<SettingsFault> faults) {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        faults.add(SettingsFault.ofFile(file, "larger than " + MAX_FILE_BYTES + " bytes"));
        return Optional.empty();
      }
      XmlTreeBuilder tree = new XmlTreeBuilder(file.toString(), faults);
      ValidatorHandler validator = readSchema(schemaUrl).newValidatorHandler();
      validator.setContentHandler(tree);
      validator.setErrorHandler(tree);
      XMLReader reader = newReader();
      reader.setContentHandler(validator);
      reader.setErrorHandler(tree);
      try (InputStream in = Files.newInputStream(file)) {
        reader.parse(new InputSource(in));
      }
      return tree.root();
    } catch (SAXParseException e) {
      // The tree builder, as the error handler, has added the fault.
      return Optional.empty();
    } catch (IOException e) {
      faults.add(SettingsFault.ofFile(file, "can't be read: " + e));
      return Optional.empty();
    } catch (SAXException | ParserConfigurationException e) {
      faults.add(SettingsFault.ofFile(file, e.getMessage()));
      return Optional.empty();
    }
  }

  private static XMLReader newReader() throws SAXException, ParserConfigurationException {
    SAXParserFactory parsers = SAXParserFactory.newInstance();
    parsers.setNamespaceAware(true);
    parsers.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
    // Without a document type there are no external entities and no entity expansion.
    parsers.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
    return parsers.newSAXParser().getXMLReader();
  }

  private static Schema readSchema(URL schemaUrl) throws SAXException, IOException {
    SchemaFactory schemas = SchemaFactory.newInstance(XMLConstants.W3C_XML_SCHEMA_NS_URI);
    schemas.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
    schemas.setProperty(XMLConstants.ACCESS_EXTERNAL_DTD, "");
    schemas.setProperty(XMLConstants.ACCESS_EXTERNAL_SCHEMA, "");
    try (InputStream in = schemaUrl.openStream()) {
      return schemas.newSchema(new StreamSource(in));
    } catch (SAXParseException e) {
      throw new IllegalStateException("invalid schema " + schemaUrl + ": " + e, e);
    }
  }
}
