# shellcheck shell=bash
# free_ports COUNT: prints COUNT distinct TCP ports that are not in use now.
free_ports() {
  local count=$1 port chosen=()
  local used_ports
  used_ports=$(awk 'FNR > 1 { split($2, a, ":"); print a[2] }' \
    /proc/net/tcp /proc/net/tcp6)
  port=$((20000 + RANDOM % 8000))
  while [ ${#chosen[@]} -lt "$count" ]; do
    port=$((port + 1))
    grep -qx "$(printf '%04X' "$port")" <<<"$used_ports" || chosen+=("$port")
  done
  echo "${chosen[@]}"
}
