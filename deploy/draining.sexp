; Draining in steps: the operators' declarations, and the switch. Start the controllers with
;   brambledoor --operators deploy/draining.sexp --config settings.json
; Without this entry nothing of it is there. docs/operating-draining.md explains each field.
(draining
  ; (admin "127.0.0.1:9090")    ; the administration resources: an address a controller, none by default
  (machines-in-step 4)          ; at once; the default is 1
  (stop-s 60)                   ; a task that was told to stop is ended after this
  (wait-s 300)                  ; arrays, and gangs that never save, may end by themselves so long
  (replace-s 300)               ; a replacement that is not up after this is given up
  (keep-s 86400)                ; the records of a drain that is over
  (planner greedy)              ; or solver
  (teams (down 1%)))            ; of each team's tasks, rounded down, at least one: the default
  ; (team NAME (down 5%) (class CLASS (down 1)))
  ; (not-together ZONE ZONE)
  ; (selection LABEL (type TYPE) (zone ZONE))
