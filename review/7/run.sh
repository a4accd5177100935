#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the silence and the kill.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
if [ ! -f "$root/target/front/whinwharf-front.jar" ] || [ ! -f "$root/target/review-2/Case7.class" ]; then
  echo "build first: deploy/build, review/build-2.sh"
  exit 2
fi
timeout -k 4 110 java -Xmx256m -cp "$root/target/review-2" Case7 "$root" "$PWD"
case $? in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
