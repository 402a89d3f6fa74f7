#!/usr/bin/env bash
# Checks the models in this folder with Spin. The model itself must have no error, and its mutant (-DMUTANT),
# which lacks one guard, must have one. Each search is exhaustive and limited to 60 s and 1 GiB. Arguments
# select models by name; the default is all. docs/MODELS.md maps the models to the code.
set -eu
cd "$(dirname "$0")"
models=$PWD
limit_seconds=60
limit_mib=1024
for tool in spin gcc; do
  command -v "$tool" > /dev/null || { echo "$tool is not installed; .ci/install installs it" >&2; exit 1; }
done
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Prints the depth limit of the search of a model, at least twice the depth that the search reaches. A search
# that exceeds the limit counts as "incomplete".
depth_limit() { # model
  case $1 in
    quota.pml | reserves.pml) echo 100000 ;;
    *) echo 10000 ;;
  esac
}

# Prints the verdict of one search: "ok", "error" or "incomplete".
search() { # model, further spin arguments
  local model=$1
  shift
  rm -rf "$work"/* && cd "$work"
  local compile="-O2 -DMEMLIM=$limit_mib" run="-m$(depth_limit "$model")"
  if grep -Eq '^[[:space:]]*(ltl|never)\b' "$models/$model"; then
    run="$run -a"
  else
    compile="$compile -DSAFETY"
  fi
  spin -a "$@" "$models/$model" > spin.log 2>&1 || { head -3 spin.log >&2; echo incomplete; return; }
  # shellcheck disable=SC2086
  gcc -w $compile -o pan pan.c
  # shellcheck disable=SC2086
  timeout "$limit_seconds" ./pan $run > pan.log 2>&1 || true
  if grep -Eq 'errors: [1-9]' pan.log; then
    # pan also reports exceeded depth and memory limits as errors, but these say nothing about the model.
    grep -Eq 'assertion violated|acceptance cycle|non-progress cycle|invalid end state' pan.log &&
      echo error || echo incomplete
  elif grep -q 'errors: 0' pan.log && ! grep -Eq 'Search not completed|out of memory|max search depth too small' pan.log; then
    echo ok
  else
    echo incomplete
  fi
}

failed=0
checked=0
check() { # model, name of the variant, expected verdict, further spin arguments
  local model=$1 variant=$2 expected=$3
  shift 3
  local verdict states
  verdict=$(search "$model" "$@")
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/pan.log" 2>/dev/null || true)
  if [ "$verdict" = "$expected" ]; then
    echo "$model $variant: passed (verdict $verdict, ${states:-?} states)"
  else
    echo "$model $variant: FAILED (verdict $verdict, expected $expected, ${states:-?} states)"
    failed=1
  fi
}

for path in *.pml; do
  if [ $# -gt 0 ] && [[ " $* " != *" ${path%.pml} "* ]]; then
    continue
  fi
  check "$path" plain ok
  check "$path" mutant error -DMUTANT
  checked=$((checked + 1))
done
if [ "$checked" -eq 0 ]; then
  echo "no model matches: ${*:-*.pml}" >&2
  exit 1
fi
exit "$failed"
