package tamarindroute;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/** The permitted dependencies between packages, as each package-info describes them. */
class ArchitectureTest {

  private static final JavaClasses PROGRAM =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .withImportOption(location -> !location.contains("-tests.jar"))
          .importPackages("tamarindroute");
  private static final String[] FRONTS = {"gateway", "wirehost", "nameserver"};

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
    noClasses()
        .that()
        .resideInAnyPackage("tamarindroute.decision", "tamarindroute.policy")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
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
            "tamarindroute.protocol..")
        .check(PROGRAM);
  }

  @Test
  void dnsUsesNoIoThreadsOrClocks() {
    noClasses()
        .that()
        .resideInAPackage("tamarindroute.dns")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.nio.channels..",
            "java.nio.file..",
            "java.util.concurrent..",
            "org.apache.mina..",
            "tamarindroute.net..",
            "tamarindroute.host..",
            "tamarindroute.resolver..")
        .check(PROGRAM);
    noClasses()
        .that()
        .resideInAPackage("tamarindroute.dns")
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(java.time.Instant.class, "now")
        .check(PROGRAM);
  }

  @Test
  void vrrpUsesNoIoThreadsOrClocks() {
    noClasses()
        .that()
        .resideInAPackage("tamarindroute.vrrp")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.nio.channels..",
            "java.nio.file..",
            "java.util.concurrent..",
            "org.apache.mina..",
            "tamarindroute.net..",
            "tamarindroute.host..",
            "tamarindroute.log..")
        .check(PROGRAM);
    noClasses()
        .that()
        .resideInAPackage("tamarindroute.vrrp")
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(PROGRAM);
  }

  @Test
  void onlyTheForwarderSendsQueries() {
    noClasses()
        .that()
        .resideInAPackage("tamarindroute.resolver")
        .and()
        .doNotHaveSimpleName("Forwarder")
        .and()
        .haveNameNotMatching(".*Forwarder\\$.*")
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
          noClasses()
              .that()
              .resideInAPackage("tamarindroute." + front)
              .should()
              .dependOnClassesThat()
              .resideInAPackage("tamarindroute." + other)
              .check(PROGRAM);
        }
      }
      noClasses()
          .that()
          .resideInAnyPackage(
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
              "tamarindroute.standby")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("tamarindroute." + front)
          .check(PROGRAM);
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
    noClasses()
        .that()
        .resideOutsideOfPackages("tamarindroute.members..", "tamarindroute.cli..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("tamarindroute.members..")
        .check(PROGRAM);
    noClasses()
        .that()
        .resideOutsideOfPackages("tamarindroute.members..", "tamarindroute.agreement..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("tamarindroute.agreement..", "com.google.protobuf..", "io.microraft..")
        .check(PROGRAM);
    noClasses()
        .that()
        .resideOutsideOfPackage("tamarindroute.agreement.raft")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("io.microraft..")
        .check(PROGRAM);
    noClasses()
        .that()
        .resideInAPackage("tamarindroute.members.agreed")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "com.google.protobuf..", "tamarindroute.agreement.proto..", "io.microraft..")
        .check(PROGRAM);
    noClasses()
        .that()
        .resideInAPackage("tamarindroute.members")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("com.google.protobuf..", "tamarindroute.members.wire.form..")
        .check(PROGRAM);
    noClasses()
        .that()
        .resideInAnyPackage("tamarindroute.membership..", "tamarindroute.members.wire..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.net..",
            "java.nio.file..",
            "java.util.concurrent..",
            "org.apache.mina..",
            "tamarindroute.host..",
            "tamarindroute.log..",
            "tamarindroute.net..")
        .check(PROGRAM);
  }
}
