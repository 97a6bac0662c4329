# shellcheck shell=bash
# free_ports COUNT prints that many different ports on which nobody listens now.
free_ports() {
  local count=$1 port chosen=()
  local taken
  taken=$(awk 'FNR > 1 { split($2, a, ":"); print a[2] }' \
    /proc/net/tcp /proc/net/tcp6)
  port=$((20000 + RANDOM % 8000))
  while [ ${#chosen[@]} -lt "$count" ]; do
    port=$((port + 1))
    grep -qx "$(printf '%04X' "$port")" <<<"$taken" || chosen+=("$port")
  done
  echo "${chosen[@]}"
}
