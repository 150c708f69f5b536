package tamarindroute;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** The permitted dependencies between packages, as each package-info describes them. */
class ArchitectureTest {

  private static final JavaClasses PROGRAM =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .withImportOption(location -> !location.contains("-tests.jar"))
          .importPackages("tamarindroute");
  private static final String[] FRONTS = {"gateway", "wirehost", "nameserver"};

  /** Packages that no front may be used by. */
  private static final String[] BELOW_FRONTS = {
    "tamarindroute.host",
    "tamarindroute.net",
    "tamarindroute.protocol",
    "tamarindroute.decision",
    "tamarindroute.policy",
    "tamarindroute.settings",
    "tamarindroute.log",
    "tamarindroute.dns",
    "tamarindroute.resolver",
    "tamarindroute.vrrp",
    "tamarindroute.vrrptransport"
  };

  private static String[] packages(String... names) {
    return names;
  }

  /** Fails if a class of the packages depends on one of the forbidden packages. */
  private static void assertIndependent(String[] packages, String... forbidden) {
    noClasses()
        .that()
        .resideInAnyPackage(packages)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(forbidden)
        .check(PROGRAM);
  }

  /** Fails if a class outside of the users depends on one of the packages. */
  private static void assertUsedOnlyBy(String[] users, String... packages) {
    noClasses()
        .that()
        .resideOutsideOfPackages(users)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(packages)
        .check(PROGRAM);
  }

  private static void assertNoCall(String packageName, Class<?> owner, String method) {
    noClasses()
        .that()
        .resideInAPackage(packageName)
        .should()
        .callMethod(owner, method)
        .check(PROGRAM);
  }

  /** Each package is a slice of its own, subpackages included. */
  private static ArchRule noCycles(String root) {
    return slices().matching("(" + root + "..)").should().beFreeOfCycles();
  }

  @Test
  void packagesAreFreeOfCycles() {
    noCycles("tamarindroute").check(PROGRAM);
  }

  /** The rule covers the root package and can fail, as shown by a library with cycles. */
  @Test
  void cycleRuleDetectsACycle() {
    assertThat(PROGRAM.contain(Main.class)).isTrue();
    JavaClasses library = new ClassFileImporter().importPackages("ch.qos.logback.classic");
    assertThat(noCycles("ch.qos.logback.classic").evaluate(library).hasViolation()).isTrue();
  }

  @Test
  void decisionAndPolicyUseNoIoOrThreads() {
    assertIndependent(
        packages("tamarindroute.decision", "tamarindroute.policy"),
        "java.io..",
        "java.net..",
        "java.nio.channels..",
        "java.nio.file..",
        "java.util.concurrent..",
        "org..",
        "com..",
        "tamarindroute.net..",
        "tamarindroute.host..",
        "tamarindroute.log..",
        "tamarindroute.protocol..");
  }

  @Test
  void dnsUsesNoIoThreadsOrClocks() {
    assertIndependent(
        packages("tamarindroute.dns"),
        "java.nio.channels..",
        "java.nio.file..",
        "java.util.concurrent..",
        "org.apache.mina..",
        "tamarindroute.net..",
        "tamarindroute.host..",
        "tamarindroute.resolver..");
    assertNoCall("tamarindroute.dns", System.class, "nanoTime");
    assertNoCall("tamarindroute.dns", System.class, "currentTimeMillis");
    assertNoCall("tamarindroute.dns", Instant.class, "now");
  }

  @Test
  void vrrpUsesNoIoThreadsOrClocks() {
    assertIndependent(
        packages("tamarindroute.vrrp"),
        "java.nio.channels..",
        "java.nio.file..",
        "java.util.concurrent..",
        "org.apache.mina..",
        "tamarindroute.net..",
        "tamarindroute.host..",
        "tamarindroute.log..");
    assertNoCall("tamarindroute.vrrp", System.class, "nanoTime");
    assertNoCall("tamarindroute.vrrp", System.class, "currentTimeMillis");
  }

  @Test
  void onlyTheForwarderSendsQueries() {
    noClasses()
        .that()
        .resideInAPackage("tamarindroute.resolver")
        .and()
        .haveNameNotMatching(
            ".*\\.(Forwarder|PendingQuestion|QueryAttempt|ResolverContext)(\\$.*)?")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("tamarindroute.net..", "org.apache.mina..", "java.util.concurrent..")
        .check(PROGRAM);
  }

  @Test
  void frontsAreIndependent() {
    for (String front : FRONTS) {
      for (String other : FRONTS) {
        if (!front.equals(other)) {
          assertIndependent(packages("tamarindroute." + front), "tamarindroute." + other);
        }
      }
      assertIndependent(BELOW_FRONTS, "tamarindroute." + front);
    }
  }

  /** These libraries would cost a gateway with a heap of 32 MB memory that it does not have. */
  @Test
  void gatewayUsesNoLibrariesOfOtherCommands() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "tamarindroute.gateway",
            "tamarindroute.host",
            "tamarindroute.net",
            "tamarindroute.protocol",
            "tamarindroute.decision",
            "tamarindroute.settings",
            "tamarindroute.wirehost",
            "tamarindroute.policy",
            "tamarindroute.start")
        .or()
        .haveSimpleName("Main")
        .or()
        .haveSimpleName("Log")
        .or()
        .haveSimpleName("MinimalLogProvider")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("picocli..", "ch.qos.logback..", "org.xbill..")
        .check(PROGRAM);
  }

  @Test
  void onlyTheLogPackageUsesLoggingLibraries() {
    classes()
        .that()
        .resideOutsideOfPackage("tamarindroute.log")
        .should()
        .onlyDependOnClassesThat()
        .resideOutsideOfPackages("org.slf4j..", "ch.qos.logback..")
        .check(PROGRAM);
  }

  /** Only the command line depends on members, and only wire formats on their libraries. */
  @Test
  void onlyTheCommandLineUsesMembers() {
    assertUsedOnlyBy(
        packages("tamarindroute.members..", "tamarindroute.cli.."), "tamarindroute.members..");
    assertUsedOnlyBy(
        packages("tamarindroute.members..", "tamarindroute.agreement.."),
        "tamarindroute.agreement..",
        "com.google.protobuf..",
        "io.microraft..");
    assertUsedOnlyBy(packages("tamarindroute.agreement.raft"), "io.microraft..");
    assertIndependent(
        packages("tamarindroute.members.agreed"),
        "com.google.protobuf..",
        "tamarindroute.agreement.proto..",
        "io.microraft..");
    assertIndependent(
        packages("tamarindroute.members"),
        "com.google.protobuf..",
        "tamarindroute.members.wire.form..");
    assertIndependent(
        packages("tamarindroute.membership..", "tamarindroute.members.wire.."),
        "java.net..",
        "java.nio.file..",
        "java.util.concurrent..",
        "org.apache.mina..",
        "tamarindroute.host..",
        "tamarindroute.log..",
        "tamarindroute.net..");
  }
}
