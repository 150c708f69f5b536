package tamarindroute.membership;
import java.time.Duration;
import java.util.*;
class Try {
    public static void main(String[] a) {
        int n = Integer.parseInt(a[0]); double loss = Double.parseDouble(a[1]); int dead=Integer.parseInt(a[2]); int paused=Integer.parseInt(a[3]); int seed=Integer.parseInt(a[4]);
        double pause = a.length>5 ? Double.parseDouble(a[5]) : 3;
        long t0=System.nanoTime();
        Sim sim = new Sim(Settings.USUAL, n, seed);
        sim.loss = loss; 
        sim.acquainted();
        Map<Integer,List<Double>> S=new TreeMap<>(), A=new TreeMap<>(); int[] suspects={0}, away={0}, falses={0}, cutoff={0}, pausedT={0}; 
        Map<Integer,Set<Integer>> know=new TreeMap<>();
        Map<Integer,Double> last=new TreeMap<>();
        Map<Address,Integer> pl=new HashMap<>(); for(int i=0;i<n;i++) pl.put(sim.nodes.get(i).address,i);
        sim.observers.add((node, acts) -> { for (Action x: acts) {
            if (x instanceof Action.Became b) {
                int w=pl.get(b.about().address());
                if (b.standing()==Standing.SUSPECT) { suspects[0]++; if (sim.nodes.get(w).dead) S.computeIfAbsent(w,k->new ArrayList<>()).add(sim.now().toMillis()/1000.0-3); }
 if (b.standing()==Standing.AWAY && sim.nodes.get(w).dead) A.computeIfAbsent(w,k->new ArrayList<>()).add(sim.now().toMillis()/1000.0-3);
                if (b.standing()==Standing.AWAY) { if (!sim.nodes.get(w).dead) {falses[0]++; if (falses[0]<5) System.out.println(sim.now()+" false at "+node+" of "+w);} else { know.computeIfAbsent(w,k->new HashSet<>()).add(node); last.put(w, sim.now().toNanos()/1e9);} }
            }
            if (x instanceof Action.Touch t) { if (t.state().condition()==Action.Condition.CUT_OFF) cutoff[0]++; if (t.state().condition()==Action.Condition.PAUSED) pausedT[0]++; }
        }});
        sim.run(Duration.ofSeconds(3));
        long b0=sim.bytes, m0=sim.messages;
        System.out.println("setup "+(System.nanoTime()-t0)/1e9+" s");
        for (int i=0;i<dead;i++) sim.kill(10+i);
        for (int i=0;i<paused;i++) { int p=10+dead+i; sim.after(Duration.ofMillis(17L*i), () -> sim.stop(p, Duration.ofMillis((long)(pause*1000)))); }
        sim.run(Duration.ofSeconds(15));
        for (int w: S.keySet()) { List<Double> x=S.get(w), y=A.getOrDefault(w,List.of(0.0)); System.out.println(w+" suspect first "+x.get(0)+" med "+x.get(x.size()/2)+" 99% "+x.get(x.size()*99/100)+" last "+x.get(x.size()-1)+" away first "+y.get(0)+" med "+y.get(y.size()/2)+" 99% "+y.get(y.size()*99/100)+" last "+y.get(y.size()-1)); }
 double worst=0; int missing=0;
        for (int i=0;i<dead;i++) { worst=Math.max(worst,last.getOrDefault(10+i,99.)); missing+= n-dead-know.getOrDefault(10+i,Set.of()).size(); }
        System.out.printf("n %d loss %.2f dead known by all after %.2f s missing %d; false %d suspects %d cutoff %d paused %d bytes/s/member %.0f msgs %.1f took %.1f s%n", n, loss, worst-3, missing, falses[0], suspects[0], cutoff[0], pausedT[0], (sim.bytes-b0)/15.0/n, (sim.messages-m0)/15.0/n, (System.nanoTime()-t0)/1e9);
    }
}
