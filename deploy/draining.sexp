; Draining in steps: this entry switches it on and has the operators' declarations. Start the controllers with
;   brambledoor --operators deploy/draining.sexp --config settings.json
; Without the entry draining is off. docs/operating-draining.md explains each field.
(draining
  ; (admin "127.0.0.1:9090")    ; administration API: an address for each controller; none by default
  (machines-in-step 4)          ; at once; the default is 1
  (stop-s 60)                   ; a task that was told to stop is stopped by force after this
  (wait-s 300)                  ; arrays, and gangs without checkpoints, may end by themselves for so long
  (replace-s 300)               ; a replacement that is not up after this is given up
  (keep-s 86400)                ; how long the records of a finished drain are kept
  (planner greedy)              ; or solver
  (teams (down 1%)))            ; of each team's tasks, rounded down, at least one: the default
  ; (team NAME (down 5%) (class CLASS (down 1)))
  ; (not-together ZONE ZONE)
  ; (selection LABEL (type TYPE) (zone ZONE))
