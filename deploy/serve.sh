#!/bin/sh
# Starts one gateway, in place of this shell, so that signals reach it, with a Java machine as large as the
# configuration's limits.memory_mb allows. It must never decide anything else, and it starts no other program: nothing
# but this shell's own words before the `exec`, so that it also starts where a process may not make others.
#
# Beside the heap the process holds what the machine's own code, classes, compiled code, threads and MINA need:
# 18 MB of its own were measured with the class archive (14 where it is mapped where it was made for), 26 MB without it,
# at any size of heap; compiled code grows by 2 MB in service. What is left of the limit after 22 MB is the heap's, from
# 10 MB, which the tables and the least of buffers need, up to 80 MB, of which no day used half. New
# objects die young: two fifths of the heap are theirs.
here=${0%/*}
[ "$here" != "$0" ] || here=.
cd "$here/.." || exit 1
# The limit is the value that follows the name "memory_mb", however the file is laid out. A limit that can't be read
# keeps nobody from starting: it counts as the least.
mb=
if [ -r "${EDGE_CONFIG:-}" ]; then
    set -f
    spaces=$IFS
    IFS="$IFS{}[]:,"
    seen=
    while [ -z "$mb" ] && { read -r line || [ -n "$line" ]; }; do
        for word in $line; do
            if [ -n "$seen" ] && [ -n "$word" ]; then
                mb=${word%%.*}
                break
            fi
            [ "$word" != '"memory_mb"' ] || seen=yes
        done
    done < "$EDGE_CONFIG"
    IFS=$spaces
fi
case $mb in
    '' | *[!0-9]* | 0* | ???????*) mb=32 ;;
esac
heap=$((mb - 22))
[ "$heap" -ge 10 ] || heap=10
[ "$heap" -le 80 ] || heap=80
young=$((heap * 2 / 5))
# The build leaves an archive of the classes; without it, or on another Java, the start only takes longer. It is mapped
# where it was made for: moved elsewhere, each of its pages is written to, and 8 MB of the file become the process's own.
archive=
[ ! -r target/tamarindroute.jsa ] || archive="-XX:SharedArchiveFile=target/tamarindroute.jsa -XX:+IgnoreUnrecognizedVMOptions \
    -XX:+UnlockDiagnosticVMOptions -XX:ArchiveRelocationMode=0"
# Methods are compiled from their 50th call on, not the 200th: the warm-up takes 150 views in place of 600.
soon="-XX:Tier3InvocationThreshold=50 -XX:Tier3MinInvocationThreshold=20 -XX:Tier3CompileThreshold=300"
# A gateway has few strings and one compiler's work: tables and threads of the usual size cost 1.4 MB of memory.
lean="-XX:StringTableSize=2048 -XX:+UnlockExperimentalVMOptions -XX:SymbolTableSize=8192 -XX:CICompilerCount=1"
# One arena: the C library would else keep freed memory for each thread.
export MALLOC_ARENA_MAX=1
exec java $archive $lean -XX:-UsePerfData -Xms${heap}m -Xmx${heap}m -Xmn${young}m -Xss256k -XX:+UseSerialGC \
    -XX:TieredStopAtLevel=1 $soon -XX:MaxMetaspaceSize=24m -XX:ReservedCodeCacheSize=16m -XX:MaxDirectMemorySize=4m \
    -jar target/tamarindroute.jar serve
