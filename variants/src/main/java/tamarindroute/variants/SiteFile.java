package tamarindroute.variants;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SortedMap;

/** A site file: its text and the document that it holds. */
final class SiteFile {

  private static final TomlMapper TOML =
      TomlMapper.builder().enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS).build();
  private static final String SUFFIX = ".toml";

  /** The tables and arrays of tables without which a file is no site file of this family. */
  private static final List<String> TABLES =
      List.of("scale", "load", "clients", "allow", "rules", "fam");

  private static final List<String> ARRAYS = List.of("tier", "class");

  final Path path;
  final String text;
  private final ObjectNode document;

  private SiteFile(Path path, String text, ObjectNode document) {
    this.path = path;
    this.text = text;
    this.document = document;
  }

  static SiteFile read(Path path) throws InvalidInputException {
    String text;
    try {
      text = Files.readString(path);
    } catch (IOException unreadable) {
      throw new InvalidInputException(path + ": no site file can be read there");
    }
    if (!path.getFileName().toString().endsWith(SUFFIX)) {
      throw new InvalidInputException(path + ": the name of a site file ends in " + SUFFIX);
    }
    return new SiteFile(path, text, validated(path, parsed(path, text)));
  }

  /** The file's name, which its variants keep. */
  String fileName() {
    return path.getFileName().toString();
  }

  /** The site's name, as the file has it. */
  String name() {
    String file = fileName();
    return file.substring(0, file.length() - SUFFIX.length());
  }

  /** A copy of the document, to be changed. */
  ObjectNode document() {
    return document.deepCopy();
  }

  /**
   * This file's text changed so that it holds the wanted document; refused where the text can't be
   * brought to that.
   */
  String textOf(ObjectNode wanted) throws InvalidInputException {
    String edited = TomlEditor.edited(text, DocumentDiff.between(document, wanted));
    SortedMap<String, JsonNode> left = DocumentDiff.between(parsed(path, edited), wanted);
    if (!left.isEmpty()) {
      throw new InvalidInputException(
          path + ": " + left.firstKey() + " can't be changed, as it isn't one line of the file");
    }
    return edited;
  }

  static ObjectNode parsed(Path path, String text) throws InvalidInputException {
    try {
      return TOML.readTree(text) instanceof ObjectNode document
          ? document
          : TOML.createObjectNode();
    } catch (JsonProcessingException malformed) {
      throw new InvalidInputException(
          path
              + ": not TOML: "
              + malformed.getOriginalMessage().lines().findFirst().orElse("")
              + (malformed.getLocation() == null
                  ? ""
                  : ", line " + malformed.getLocation().getLineNr()));
    }
  }

  private static ObjectNode validated(Path path, ObjectNode document) throws InvalidInputException {
    for (String table : TABLES) {
      if (!document.path(table).isObject()) {
        throw new InvalidInputException(
            path + ": not a site file: it has no table [" + table + "]");
      }
    }
    for (String array : ARRAYS) {
      if (!document.path(array).path(0).isObject()) {
        throw new InvalidInputException(
            path + ": not a site file: it has no tables [[" + array + "]]");
      }
    }
    return document;
  }
}
