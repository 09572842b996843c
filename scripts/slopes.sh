#!/usr/bin/env bash
# Measures processor time, memory and bytes of one entry by its side processes, and of one side
# process by its entries, for docs/CAPACITY.md. Needs Linux's /proc and free ports from 23000 on.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --quiet --bins
bin=target/release
dir=$(mktemp -d)
secret=00112233445566778899aabbccddeeff0011
seconds=20
pids=()
stop_all() {
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	pids=()
}
trap 'stop_all; rm -rf "$dir"' EXIT

# Prints what one daemon used over some seconds: pid, metrics address, metric prefix.
sample() {
	local pid=$1 url=$2 prefix=$3
	local ticks0 ticks1 sent0 sent1 received0 received1 memory
	ticks0=$(awk '{print $14+$15}' "/proc/$pid/stat")
	sent0=$(curl -s "$url" | awk -v n="${prefix}_link_sent_bytes" '$1==n {print $2}')
	received0=$(curl -s "$url" | awk -v n="${prefix}_link_received_bytes" '$1==n {print $2}')
	sleep "$seconds"
	ticks1=$(awk '{print $14+$15}' "/proc/$pid/stat")
	sent1=$(curl -s "$url" | awk -v n="${prefix}_link_sent_bytes" '$1==n {print $2}')
	received1=$(curl -s "$url" | awk -v n="${prefix}_link_received_bytes" '$1==n {print $2}')
	memory=$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")
	awk -v t=$((ticks1 - ticks0)) -v s=$((sent1 - sent0)) -v r=$((received1 - received0)) \
		-v m="$memory" -v n="$seconds" \
		'BEGIN {printf "%.2f%% of a core, %.1f MB, %.2f KB/s sent, %.2f KB/s received\n", t/n, m/1024, s/n/1000, r/n/1000}'
}

for count in 20 64 200 1600; do
	"$bin/slopes" sides --list 127.0.0.1:23001 --count "$count" --secret "$secret" >/dev/null &
	pids+=($!)
	sleep 1
	cat >"$dir/entry.json" <<-EOF
		{"instance":"entry-0","data_centre":"dc-0","listen":"127.0.0.1:23002",
		 "store":"127.0.0.1:23003","platform":"127.0.0.1:23001","secret":"$secret",
		 "log_file":"$dir/entry.log","sides_per_data_centre":4096}
	EOF
	"$bin/galenarail-standin" store --listen 127.0.0.1:23003 >/dev/null &
	pids+=($!)
	"$bin/galenarail-entry" --settings "$dir/entry.json" &
	pids+=($!)
	entry=$!
	sleep 8
	echo "entry with $count side processes: $(sample "$entry" http://127.0.0.1:23002/metrics galenarail_entry)"
	stop_all
done

for count in 10 100 370; do
	cat >"$dir/side.json" <<-EOF
		{"instance":"engine-0","data_centre":"dc-0","listen":"127.0.0.1:23004",
		 "operations":"127.0.0.1:23005","backend":"127.0.0.1:23006",
		 "kind":{"engine":{"checks_fencing":true}},"secret":"$secret","log_file":"$dir/side.log"}
	EOF
	"$bin/galenarail-standin" engine --listen 127.0.0.1:23006 --model assistant >/dev/null &
	pids+=($!)
	"$bin/galenarail-side" --settings "$dir/side.json" &
	pids+=($!)
	side=$!
	sleep 1
	"$bin/slopes" entries --side 127.0.0.1:23004 --count "$count" --secret "$secret" >/dev/null &
	pids+=($!)
	sleep 5
	echo "side process with $count entries: $(sample "$side" http://127.0.0.1:23005/metrics galenarail_side)"
	stop_all
done
