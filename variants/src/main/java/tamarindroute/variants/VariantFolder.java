package tamarindroute.variants;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Writes variants into a folder, all or none: they are written to a temporary folder that is
 * renamed when it is complete.
 */
final class VariantFolder {

  /** Files of a site's folder that are copied unchanged. */
  static final List<String> COMPANIONS = List.of("wire.json", "real.json", "unlock.txt");

  private static final String TEMPORARY = ".variants-";

  private final Path folder;

  /** Refuses a folder that has entries, or whose parent does not exist. */
  VariantFolder(Path folder) throws InvalidInputException, IOException {
    this.folder = folder.toAbsolutePath().normalize();
    if (Files.exists(folder, LinkOption.NOFOLLOW_LINKS) && !isEmptyFolder(folder)) {
      throw new InvalidInputException(folder + ": not empty; an empty or a new folder is needed");
    }
    if (this.folder.getParent() == null || !Files.isDirectory(this.folder.getParent())) {
      throw new InvalidInputException(folder + ": its parent folder does not exist");
    }
  }

  void write(SiteFile site, List<Variant> variants) throws InvalidInputException, IOException {
    Path temporary = Files.createTempDirectory(folder.getParent(), TEMPORARY);
    try {
      for (Variant variant : variants) {
        writeOne(site, variant, Files.createDirectory(temporary.resolve(variant.folderName())));
      }
      Files.setPosixFilePermissions(
          temporary,
          Files.getPosixFilePermissions(temporary.resolve(variants.get(0).folderName())));
      Files.move(temporary, folder, StandardCopyOption.ATOMIC_MOVE);
    } finally {
      delete(temporary);
    }
  }

  private static void writeOne(SiteFile site, Variant variant, Path into)
      throws InvalidInputException, IOException {
    Files.writeString(into.resolve(site.fileName()), site.textOf(variant.document()));
    for (String name : COMPANIONS) {
      Path companion = site.path.resolveSibling(name);
      if (Files.exists(companion)) {
        Files.copy(companion, into.resolve(name));
      }
    }
  }

  private static boolean isEmptyFolder(Path path) throws IOException {
    if (!Files.isDirectory(path, LinkOption.NOFOLLOW_LINKS)) {
      return false;
    }
    try (Stream<Path> entries = Files.list(path)) {
      return entries.findAny().isEmpty();
    }
  }

  private static void delete(Path path) throws IOException {
    if (!Files.exists(path)) {
      return;
    }
    try (Stream<Path> all = Files.walk(path)) {
      for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(one);
      }
    }
  }
}
