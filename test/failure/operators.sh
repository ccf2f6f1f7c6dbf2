#!/usr/bin/env bash
# The operators' commands: ten racing promotions, a lost answer, a stale change, an
# outage, and the audit trail.
set -u
. "$(dirname "$0")/../../scripts/lib.sh"
run=$(mktemp -d)
trap 'stop_all; rm -rf "$run"' EXIT
platform=127.0.0.1:25000
start_platform || exit 1
start_proxies kitakaze 3 25300
publish_vms
failed=0
check() { # NAME WANTED GOT
  if [ "$2" = "$3" ]; then echo "ok $1"; else echo "FAILED $1: $3, wanted $2"; failed=1; fi
}
document=$root/examples/kitakaze.json
promote kitakaze "$document" >"$run/out" || exit 1
await 20 all_ready kitakaze || { echo "not ready"; exit 1; }
promote kitakaze "$document" >"$run/out"
check "nothing to promote" "0 nothing to promote: the document is in force" "$? $(cat "$run/out")"

sed 's/"name": "balance", /&"long": false, /; s/"path": "\/ledger\/balance", "priority": 3/"path": "\/ledger\/balance", "priority": 4/' \
  "$document" >"$run/a.json"
sed 's/"path": "\/ledger\/balance", "priority": 3/"path": "\/ledger\/balance", "priority": 5/' "$document" >"$run/b.json"
who=anna promote kitakaze "$run/a.json" --from 1 --wait 8000 >"$run/out"
check "a change by anna is in force" 0 $?
who=ben promote kitakaze "$run/b.json" --from 1 >"$run/out"
check "a stale change by ben is refused" 3 $?
grep -q "route/balance was changed meanwhile by anna at offset 2" "$run/out"
check "and says who was first" 0 $?

curl -fsS -X POST "http://$platform/faults?losePercent=100" >/dev/null
sed 's/"deadlineMs": 60000/"deadlineMs": 50000/' "$run/a.json" >"$run/c.json"
promote kitakaze "$run/c.json" --id 01a3185c-54b0-7687-b21a-000000000001 >"$run/out"
check "a change whose answer is lost holds" 0 $?
curl -fsS -X POST "http://$platform/faults?losePercent=0" >/dev/null
promote kitakaze "$run/c.json" --id 01a3185c-54b0-7687-b21a-000000000001 >"$run/out"
check "and its repeat is harmless" 0 $?

racers=()
for i in 0 1 2 3 4 5 6 7 8 9; do
  sed "s/\"floorPercent\": 60, \"accountLimit\": 0/\"floorPercent\": 60, \"accountLimit\": $((i + 1))/" \
    "$run/c.json" >"$run/race-$i.json"
  who=racer-$i promote kitakaze "$run/race-$i.json" --from 4 >"$run/race-$i.out" &
  racers+=($!)
done
won=0
for pid in "${racers[@]}"; do wait "$pid" && won=$((won + 1)); done
check "of ten racing operators one wins" 1 $won

curl -fsS -X POST "http://$platform/faults?down=1" >/dev/null
promote kitakaze "$document" >"$run/out" 2>&1
check "an outage is said" 4 $?
curl -fsS -X POST "http://$platform/faults?down=0" >/dev/null

"$build/vanillascale" audit --platform $platform --environment kitakaze >"$run/audit"
check "the audit trail names the refused" 1 "$(grep -c 'changed meanwhile by anna' "$run/audit")"
check "and ten racers" 10 "$(grep -c '^  by racer-' "$run/audit")"
"$build/vanillascale" status --platform $platform --vm-group proxies-kitakaze >"$run/status"
check "status names all nodes" 3 "$(grep -c ' ready' "$run/status")"

"$build/vanillascale" check "$document" --platform $platform --json >"$run/out"
check "a check reads the version in force" 0 $?
grep -q '"comparedWith": "offset ' "$run/out"
check "and names its offset" 0 $?
sed 's/"deadlineMs": 60000/&, "goalMs": 60001/' "$document" >"$run/goal.json"
"$build/vanillascale" check "$run/goal.json" --against "$document" >"$run/out"
check "warnings are no errors" 0 $?
grep -q "changed route invoice-run: goalMs not set -> 60001" "$run/out"
check "a check names what changed" 0 $?
"$build/vanillascale" check "$run/goal.json" --strict >"$run/out"
check "unless they are asked for" 1 $?
for i in 01 02 03 04 05 06 07 08 09 10; do
  "$build/vanillascale" check "$root/test/error/broken-$i.json" 2>"$run/out"
  check "broken-$i is refused" 2 $?
  while read -r place; do
    grep -qF ": $place " "$run/out"
    check "broken-$i names $place" 0 $?
  done <"$root/test/error/broken-$i.expected"
done
"$build/vanillascaled" --listen nowhere 2>"$run/out"
check "settings are refused" 2 $?
check "all at once" 7 "$(grep -c 'is not allowed' "$run/out")"
exit $failed
