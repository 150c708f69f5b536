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
 * Writes variants into a folder, all or none: they are written beside it and moved there when they
 * are whole.
 */
final class VariantFolder {

  /** What may stand beside a site file and goes with it as it is. */
  static final List<String> COMPANIONS = List.of("wire.json", "real.json", "unlock.txt");

  private static final String TEMPORARY = ".variants-";

  private final Path folder;

  /** The folder to be; refused if it holds something already. */
  VariantFolder(Path folder) throws RefusedException, IOException {
    this.folder = folder.toAbsolutePath().normalize();
    if (Files.exists(folder, LinkOption.NOFOLLOW_LINKS) && !isEmptyFolder(folder)) {
      throw new RefusedException(
          folder + ": there is something already; an empty or a new folder is needed");
    }
    if (this.folder.getParent() == null || !Files.isDirectory(this.folder.getParent())) {
      throw new RefusedException(folder + ": the folder that it would stand in is not there");
    }
  }

  void write(SiteFile site, List<Variant> variants) throws RefusedException, IOException {
    Path temporary = Files.createTempDirectory(folder.getParent(), TEMPORARY);
    try {
      for (Variant variant : variants) {
        writeOne(site, variant, Files.createDirectory(temporary.resolve(variant.folder())));
      }
      Files.setPosixFilePermissions(
          temporary, Files.getPosixFilePermissions(temporary.resolve(variants.get(0).folder())));
      Files.move(temporary, folder, StandardCopyOption.ATOMIC_MOVE);
    } finally {
      delete(temporary);
    }
  }

  private static void writeOne(SiteFile site, Variant variant, Path into)
      throws RefusedException, IOException {
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
