package tamarindroute.rig.play;

import java.nio.file.Path;
import tamarindroute.Brain;
import tamarindroute.gateway.Gateway;
import tamarindroute.members.Members;
import tamarindroute.members.MembersSettings;

/** A gateway with its membership, until the program itself has the option for it. */
public final class MemberProgram {

    private MemberProgram() { }

    public static void main(String[] words) throws Exception {
        Gateway.start(System.getenv("EDGE_CONFIG"), Brain::new, new Members(MembersSettings.read(Path.of(words[0]))));
    }
}
